package org.whinwharf.bench.internal;

import org.whinwharf.bench.history.HistoryEntry;
import org.whinwharf.bench.history.HistoryEntry.Outcome;
import org.whinwharf.bench.history.ImmutableHistoryEntry;
import org.whinwharf.standin.StandInText;
import org.whinwharf.wire.caller.AnswerError;

/** Gathers what one attempt saw. Its methods are called by one exchange at a time. */
final class AttemptLog {
    private static final double NANOS_PER_MICRO = 1e3;

    private final Plan plan;
    private final ImmutableHistoryEntry.Builder entry;
    private final LoadSummary summary;
    private final long startNanos = System.nanoTime();
    private final StringBuilder text = new StringBuilder();
    private long lastTokenNanos;
    private int tokens;
    private int resumes;
    private boolean sentElsewhere;
    private Outcome outcome = Outcome.BROKEN;
    private EntryTransport.Numbered numbered;

    AttemptLog(Plan plan, int attempt, LoadSummary summary) {
        this.plan = plan;
        this.summary = summary;
        this.entry = plan.entry(attempt).sentMillis(System.currentTimeMillis());
    }

    Plan plan() {
        return plan;
    }

    LoadSummary summary() {
        return summary;
    }

    int tokens() {
        return tokens;
    }

    int resumes() {
        return resumes;
    }

    void noteResume() {
        resumes++;
    }

    void numbered(EntryTransport.Numbered given) {
        numbered = given;
        entry.ticket(StandInText.inputDigest(given.ticket())).number(given.number());
    }

    /** Returns the number that the attempt was sent with; null when it was sent without one. */
    EntryTransport.Numbered numbered() {
        return numbered;
    }

    void head(String requestId, String target) {
        entry.requestId(requestId).target(target).headMillis(System.currentTimeMillis());
    }

    /** Takes a token in the order in which it came, also where that order is wrong: the history shall show it. */
    void token(String token) {
        long nowNanos = System.nanoTime();
        if (tokens == 0) {
            entry.firstTokenMillis(System.currentTimeMillis());
            summary.firstToken(plan, Math.round((nowNanos - startNanos) / NANOS_PER_MICRO));
        } else {
            summary.tokenGap(Math.round((nowNanos - lastTokenNanos) / NANOS_PER_MICRO));
        }
        lastTokenNanos = nowNanos;
        tokens++;
        text.append(token);
    }

    void whole() {
        outcome = Outcome.WHOLE;
    }

    void wholeText(String answer) {
        text.append(answer);
        whole();
    }

    void error(AnswerError error) {
        outcome = Outcome.ERROR;
        sentElsewhere = error.getAddressesCount() > 0;
        entry.error(error.getError()).ran(error.getRan()).comeBackMillis(error.getComeBackMillis());
        if (!error.getRequestId().isEmpty()) {
            entry.requestId(error.getRequestId());
        }
    }

    void refusal(RefusedException refusal) {
        AnswerError error;
        try {
            error = Exchange.parse(refusal.body(), AnswerError.newBuilder()).build();
        } catch (IllegalArgumentException e) {
            error = AnswerError.getDefaultInstance();
        }
        String name = error.getError().isEmpty() ? "status-" + refusal.status() : error.getError();
        error(error.toBuilder().setError(name).build());
    }

    /** Returns whether the error named other hosts to use instead. */
    boolean sentElsewhere() {
        return sentElsewhere;
    }

    boolean open() {
        return outcome == Outcome.BROKEN;
    }

    HistoryEntry finish() {
        return entry.outcome(outcome)
                .endMillis(System.currentTimeMillis())
                .tokens(tokens)
                .resumes(resumes)
                .textDigest(text.length() == 0 ? "" : StandInText.inputDigest(text.toString()))
                .build();
    }
}
