package org.whinwharf.bench.history;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.whinwharf.bench.PromptSpec;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.errors.Ran;
import org.whinwharf.standin.StandInText;
import org.whinwharf.standin.record.Overload;

/** What must hold in every history. */
public enum Rule {
    /** Each request id was sent to at most one target, and once. */
    DISPATCHED_ONCE {
        @Override
        void check(History history, Report report) {
            history.admissionsByRequest().forEach((id, admissions) -> {
                int dispatches =
                        admissions.stream().mapToInt(Admission::dispatches).sum();
                if (dispatches > 1) {
                    report.add(id, dispatches + " dispatches: " + admissions);
                }
            });
        }
    },

    /** A request whose caller was told that it did not run was admitted nowhere, before or after. */
    NOT_RUN_IS_TRUE {
        @Override
        void check(History history, Report report) {
            for (HistoryEntry entry : history.entries()) {
                boolean admitted = !history.admissionsOf(entry.requestId()).isEmpty();
                if (saidNotRun(entry) && admitted) {
                    report.add(entry.requestId(), entry.error() + " but " + history.admissionsOf(entry.requestId()));
                }
            }
            history.byIntent().forEach((intent, attempts) -> checkIntent(history, intent, attempts, report));
        }

        /** Finds what ran under an id that the caller never learned. */
        private void checkIntent(History history, String intent, List<HistoryEntry> attempts, Report report) {
            Map<String, Boolean> mayHaveRun = new HashMap<>();
            for (HistoryEntry attempt : attempts) {
                mayHaveRun.merge(requestKey(attempt), !saidNotRun(attempt), Boolean::logicalAnd);
            }
            long allowed = mayHaveRun.values().stream().filter(may -> may).count();
            long admitted = history.admissionsOfInput(attempts.get(0)).stream()
                    .map(Admission::requestId)
                    .distinct()
                    .count();
            if (admitted > allowed) {
                report.add(intent, admitted + " requests ran, " + allowed + " can have by what callers were told");
            }
        }
    },

    /** A whole answer is the one to its own request, complete and in order, from the target that is named. */
    ANSWER_IS_ITS_OWN {
        @Override
        void check(History history, Report report) {
            for (HistoryEntry entry : history.entries()) {
                if (entry.outcome() == HistoryEntry.Outcome.WHOLE) {
                    checkAnswer(history, entry, report);
                }
            }
        }

        private void checkAnswer(History history, HistoryEntry entry, Report report) {
            if (!entry.textDigest().equals(StandInText.inputDigest(expectedText(entry)))) {
                report.add(entry.intent(), "text is not the answer to " + entry.requestId());
            }
            if (entry.tokens() != entry.maxTokens()) {
                report.add(entry.intent(), entry.tokens() + " tokens of " + entry.maxTokens());
            }
            boolean admitted = history.admissionsOf(entry.requestId()).stream()
                    .anyMatch(admission -> admission.target().equals(entry.target()));
            if (history.knowsTarget(entry.target()) && !admitted) {
                report.add(entry.intent(), entry.target() + " never admitted " + entry.requestId());
            }
        }
    },

    /** A request that may not be repeated ran at most once, whatever was tried for it. */
    NON_IDEMPOTENT_ONCE {
        @Override
        void check(History history, Report report) {
            history.byIntent().forEach((intent, attempts) -> {
                int runs = history.admissionsOfInput(attempts.get(0)).size();
                if (!attempts.get(0).idempotent() && runs > 1) {
                    report.add(intent, "ran " + runs + " times: " + history.admissionsOfInput(attempts.get(0)));
                }
            });
        }
    },

    /** While a request of a lower tier waits, none of a higher tier of the same service is shed. */
    LOWER_TIER_SHED_FIRST {
        @Override
        void check(History history, Report report) {
            WaitingIntervals waiting = new WaitingIntervals(history);
            for (HistoryEntry entry : history.entries()) {
                if (entry.error().equals(SHED)) {
                    waiting.lowerTierWaitingAt(entry)
                            .ifPresent(lower -> report.add(
                                    entry.intent(),
                                    "rank " + entry.tierRank() + " shed while " + lower.intent() + " of rank "
                                            + lower.tierRank() + " waited"));
                }
            }
        }
    },

    /**
     * While a request could still have been answered in time, none of a lower tier that waited with it gets a place.
     *
     * <p>It looks at what a request was refused for, whatever the refusal is called: a request that is called hopeless
     * was shed all the same when a lower one that waited was sent to a target in the first half of the time it had
     * left.
     */
    PLACE_TO_HIGHER_TIER_FIRST {
        @Override
        void check(History history, Report report) {
            LaterAdmissions later = new LaterAdmissions(history);
            for (HistoryEntry entry : history.entries()) {
                if (REFUSED_FOR_LOAD.contains(entry.error())) {
                    later.lowerTierServedInstead(entry)
                            .ifPresent(lower -> report.add(
                                    entry.intent(),
                                    "rank " + entry.tierRank() + " refused as " + entry.error() + " though "
                                            + lower.intent() + " of rank " + lower.tierRank() + " got a place"));
                }
            }
        }
    },

    /** A data centre or target that is out received no new work once the time for that had passed. */
    NO_WORK_WHEN_OUT {
        @Override
        void check(History history, Report report) {
            long graceMillis = history.tolerances().withdrawalMillis();
            for (Withdrawal withdrawal : history.withdrawals()) {
                for (Admission admission : history.admissions()) {
                    if (withdrawal.covers(admission, graceMillis)) {
                        long late = admission.startMillis() - withdrawal.fromMillis();
                        report.add(admission.target(), admission.requestId() + " came " + late + " ms after");
                    }
                }
            }
        }
    },

    /** A cold engine received no more than it bears. */
    COLD_NOT_OVERLOADED {
        @Override
        void check(History history, Report report) {
            for (TargetHistory target : history.targets()) {
                target.engine()
                        .ifPresent(engine -> engine.overloads().stream()
                                .filter(overload -> expected(overload, history))
                                .forEach(overload -> report.add(target.name(), overload.toString())));
            }
        }
    };

    private static final String SHED = ErrorKind.SHED.wireName();
    private static final Set<String> REFUSED_FOR_LOAD = Set.of(
            SHED, ErrorKind.HOPELESS.wireName(), ErrorKind.HOST_FULL.wireName(), ErrorKind.DEADLINE_WAITING.wireName());

    abstract void check(History history, Report report);

    /** Takes the breaches of one rule. */
    @FunctionalInterface
    interface Report {
        void add(String subject, String detail);
    }

    static boolean saidNotRun(HistoryEntry entry) {
        return entry.ran().equals(Ran.NOT_RUN.wireName());
    }

    /** A start is known to mean cold; only an engine that turns cold without warning leaves time for noticing it. */
    private static boolean expected(Overload overload, History history) {
        return overload.atStart()
                || overload.sinceColdMillis() > history.tolerances().coldMillis();
    }

    private static String requestKey(HistoryEntry entry) {
        return entry.number() < 0 ? "attempt " + entry.attempt() : entry.ticket() + "#" + entry.number();
    }

    private static String expectedText(HistoryEntry entry) {
        return entry.prompt()
                .map(PromptSpec::text)
                .map(prompt -> StandInText.answer(entry.requestId(), prompt, entry.maxTokens()))
                .orElseGet(() -> StandInText.callAnswer(entry.requestId(), entry.call(), entry.body()));
    }
}
