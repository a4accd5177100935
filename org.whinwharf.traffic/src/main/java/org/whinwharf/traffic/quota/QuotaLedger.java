package org.whinwharf.traffic.quota;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.Organisation;
import org.whinwharf.traffic.member.MemberTable;

/** Quota accounts of all organisations, and the totals of admitted tokens that this process reports to the others. */
public final class QuotaLedger {
    private static final long NO_BASELINE = -1;
    /** Time between two reports of a process after which it was unreachable, as processes report more often. */
    private static final long SILENCE_MILLIS = 1_000;
    /**
     * Time after its return within which all that a process reports may date from before. Of an organisation that it
     * first reports on later, as it has many, only what its earlier reports would have told does.
     */
    private static final long LATE_REPORTS_MILLIS = 500;
    /** Maximum number of totals of other processes that are kept, those updated last: about seven megabytes. */
    private static final int MAX_REMOTE_TOTALS = 65_536;

    private final boolean freshFleet;
    private final Map<String, QuotaAccount> accounts = new HashMap<>();
    private final AdmissionReports reports = new AdmissionReports();
    private final Map<Integer, Long> refundedTokens = new HashMap<>();
    private final Map<String, ReportingProcess> processes = new HashMap<>();
    private final Map<TotalKey, RemoteTotal> remoteTotals = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TotalKey, RemoteTotal> eldest) {
            return size() > MAX_REMOTE_TOTALS;
        }
    };
    private final Map<PendingAdmissionKey, Long> pendingAdmissions = new HashMap<>();
    private final Map<Integer, String> organisationNamesByDigest = new HashMap<>();
    private double reachableShare = 1;
    private long unnoticedMillis = MemberTable.SUSPECT_TIMEOUT_MILLIS;
    private int processCount = 1;

    /**
     * A process that reports admitted totals.
     *
     * @param incarnation its current incarnation
     * @param baselineAtMillis time at which the process was first seen; totals received at that time without the one
     *     reported before are not charged, since they date from before; negative for none
     * @param reportedAtMillis time of its last report
     * @param returnedAtMillis time of its first report after it was unreachable
     */
    private record ReportingProcess(
            long incarnation, long baselineAtMillis, long reportedAtMillis, long returnedAtMillis) {
        /** Returns whether the process was restarted after it was first seen. */
        boolean restarted() {
            return baselineAtMillis == NO_BASELINE;
        }

        ReportingProcess reported(long nowMillis) {
            boolean returned = nowMillis - reportedAtMillis > SILENCE_MILLIS;
            return new ReportingProcess(
                    incarnation, baselineAtMillis, nowMillis, returned ? nowMillis : returnedAtMillis);
        }

        /** Returns whether a report may hold what the process admitted while it was unreachable. */
        boolean reportsLate(long nowMillis) {
            return nowMillis - returnedAtMillis <= LATE_REPORTS_MILLIS;
        }
    }

    /** Identifies the total that an incarnation of a process has reported of an organisation. */
    private record TotalKey(String process, long incarnation, int organisationDigest) {}

    /** A total that another process has reported, and when it last did. */
    private record RemoteTotal(long tokens, long receivedAtMillis) {}

    /** Identifies tokens already charged here for a process that will include them in a later report. */
    private record PendingAdmissionKey(String process, int organisationDigest) {}

    /**
     * Creates an empty ledger.
     *
     * @param freshFleet true when the whole fleet starts for the first time
     */
    public QuotaLedger(boolean freshFleet) {
        this.freshFleet = freshFleet;
    }

    /**
     * Applies the quotas of a new catalog.
     *
     * @param catalog the new catalog
     * @param nowMillis monotonic time in milliseconds
     */
    public void update(Catalog catalog, long nowMillis) {
        for (Organisation organisation : catalog.organisations()) {
            organisationNamesByDigest.put(organisation.name().hashCode(), organisation.name());
            if (organisation.quotaTokensPerSecond() <= 0) {
                accounts.remove(organisation.name());
                continue;
            }
            double rate = organisation.quotaTokensPerSecond();
            double burst = Math.max(organisation.quotaBurstTokens(), 1);
            QuotaAccount account = accounts.get(organisation.name());
            if (account == null) {
                account = new QuotaAccount(rate, burst, freshFleet, nowMillis);
                account.updateReachableShare(reachableShare, unnoticedMillis, nowMillis);
                accounts.put(organisation.name(), account);
            } else {
                account.update(rate, burst, nowMillis);
            }
        }
    }

    /**
     * Admits a request if its organisation's quota allows it. An organisation without a quota is always admitted.
     *
     * @param organisation name of the organisation
     * @param tokens tokens that the request uses
     * @param nowMillis monotonic time in milliseconds
     * @return true when it is admitted
     */
    public boolean tryAdmit(String organisation, long tokens, long nowMillis) {
        QuotaAccount account = accounts.get(organisation);
        if (account != null && !account.tryAdmit(tokens, nowMillis)) {
            return false;
        }
        addToTotal(organisation.hashCode(), tokens);
        return true;
    }

    /**
     * Admits a request without a coordinator. In a large fleet, this process's own rate limit applies too.
     *
     * @param organisation name of the organisation
     * @param tokens tokens that the request uses
     * @param nowMillis monotonic time in milliseconds
     * @return true when it is admitted
     */
    public boolean tryAdmitUncoordinated(String organisation, long tokens, long nowMillis) {
        if (processCount < MemberTable.LARGE_FLEET_THRESHOLD) {
            return tryAdmit(organisation, tokens, nowMillis);
        }
        QuotaAccount account = accounts.get(organisation);
        if (account != null && !account.tryAdmitUncoordinated(tokens, processCount, nowMillis)) {
            return false;
        }
        addToTotal(organisation.hashCode(), tokens);
        return true;
    }

    private void addToTotal(int digest, long tokens) {
        long refunded = Math.min(tokens, refundedTokens.getOrDefault(digest, 0L));
        refundedTokens.merge(digest, -refunded, Long::sum);
        reports.add(digest, tokens - refunded);
    }

    /**
     * Refunds the tokens of an admitted request that was not executed. The reported total never decreases, so the
     * refund reaches the other processes as a smaller increase.
     *
     * @param organisation name of the organisation
     * @param tokens tokens that were admitted
     */
    public void refund(String organisation, long tokens) {
        QuotaAccount account = accounts.get(organisation);
        if (account != null) {
            account.refund(tokens);
        }
        refundedTokens.merge(organisation.hashCode(), tokens, Long::sum);
    }

    /**
     * Returns the Retry-After delay for a rejected caller of an organisation.
     *
     * @param organisation name of the organisation
     * @return time in milliseconds; 0 when it has no quota
     */
    public long retryAfterMillis(String organisation) {
        QuotaAccount account = accounts.get(organisation);
        return account == null ? 0 : account.retryAfterMillis(1 + processes.size());
    }

    /**
     * Returns the Retry-After delay for a caller of any process that this process rejected as the coordinator. It has
     * rejected the callers of all processes, so the whole rate serves those before this one.
     *
     * @param organisation name of the organisation
     * @return time in milliseconds; 0 when it has no quota
     */
    public long coordinatorRetryAfterMillis(String organisation) {
        QuotaAccount account = accounts.get(organisation);
        return account == null ? 0 : account.coordinatorRetryAfterMillis();
    }

    /**
     * Returns the level of an organisation's bucket.
     *
     * @param organisation name of the organisation
     * @param nowMillis monotonic time in milliseconds
     * @return tokens; negative for a debt; 0 when it has no quota
     */
    public long levelTokens(String organisation, long nowMillis) {
        QuotaAccount account = accounts.get(organisation);
        return account == null ? 0 : account.levelTokens(nowMillis);
    }

    /**
     * Returns the tokens that this process admitted since its start.
     *
     * @return totals by digest of the organisation's name
     */
    public Map<Integer, Long> admittedTotals() {
        return reports.admittedTotals();
    }

    /**
     * Returns the entries of this process's next report, and takes them as reported.
     *
     * @param maxRepeats maximum number of entries that repeat earlier ones
     * @param nowMillis monotonic time in milliseconds
     * @return entries, a bounded number whatever the number of organisations
     */
    public List<AdmissionReports.Entry> nextReport(int maxRepeats, long nowMillis) {
        return reports.next(maxRepeats, nowMillis);
    }

    /**
     * Receives another process's admitted total. A new incarnation of a process replaces the previous one, whose usage
     * is already charged. The first totals of an unknown process cover its whole uptime and only set the baseline. A
     * restarted process that charged them would have a debt of half a minute's quota and reject every request until it
     * is paid off.
     *
     * @param process name of the process
     * @param incarnation incarnation of the process
     * @param organisationDigest digest of the organisation's name
     * @param total tokens that it admitted since its start
     * @param nowMillis monotonic time in milliseconds
     */
    public void receiveTotal(String process, long incarnation, int organisationDigest, long total, long nowMillis) {
        receiveTotal(process, incarnation, organisationDigest, total, OptionalLong.empty(), nowMillis);
    }

    /**
     * Receives another process's admitted total, with the one that it reported before. Where no earlier total is known
     * here, only the difference is charged.
     *
     * @param process name of the process
     * @param incarnation incarnation of the process
     * @param organisationDigest digest of the organisation's name
     * @param total tokens that it admitted since its start
     * @param reportedTotal the total that it reported before; empty if it does not tell, as it reports all totals
     * @param nowMillis monotonic time in milliseconds
     */
    public void receiveTotal(
            String process,
            long incarnation,
            int organisationDigest,
            long total,
            OptionalLong reportedTotal,
            long nowMillis) {
        ReportingProcess known = processes.get(process);
        if (known == null) {
            known = new ReportingProcess(incarnation, nowMillis, nowMillis, nowMillis);
        } else if (known.incarnation() != incarnation) {
            known = new ReportingProcess(incarnation, NO_BASELINE, nowMillis, nowMillis);
            pendingAdmissions.keySet().removeIf(key -> key.process().equals(process));
        } else {
            known = known.reported(nowMillis);
        }
        processes.put(process, known);
        TotalKey key = new TotalKey(process, incarnation, organisationDigest);
        RemoteTotal previous = remoteTotals.get(key);
        long previousTotal = previous == null ? reportedTotal.orElse(0) : previous.tokens();
        remoteTotals.put(key, new RemoteTotal(previous == null ? total : Math.max(total, previousTotal), nowMillis));
        boolean baseline = previous == null && reportedTotal.isEmpty() && known.baselineAtMillis() == nowMillis;
        if (total <= previousTotal || baseline) {
            return;
        }
        String name = organisationNamesByDigest.get(organisationDigest);
        QuotaAccount account = name == null ? null : accounts.get(name);
        if (account != null) {
            PendingAdmissionKey pending = new PendingAdmissionKey(process, organisationDigest);
            long alreadyCharged = Math.min(total - previousTotal, pendingAdmissions.getOrDefault(pending, 0L));
            addPending(pending, -alreadyCharged);
            long newTokens = total - previousTotal - alreadyCharged;
            boolean toldSinceReturn = previous == null || previous.receivedAtMillis() >= known.returnedAtMillis();
            long missedTokens = toldSinceReturn ? 0 : reportedTotal.orElse(previousTotal) - previousTotal;
            long lateTokens = lateTokens(known, missedTokens, newTokens, nowMillis);
            if (lateTokens > 0) {
                account.recordLateAdmission(lateTokens, nowMillis);
            }
            if (newTokens > lateTokens) {
                account.recordRemoteAdmission(newTokens - lateTokens, nowMillis);
            }
        }
    }

    /**
     * Returns how many newly reported tokens a process may have admitted while it was unreachable.
     *
     * @param missedTokens tokens in reports that it sent before its return and that were not received, or 0
     */
    private static long lateTokens(ReportingProcess process, long missedTokens, long newTokens, long nowMillis) {
        if (process.restarted()) {
            // A process that was down has used nothing of the refill that was left to it.
            return 0;
        }
        return process.reportsLate(nowMillis) ? newTokens : Math.min(newTokens, Math.max(0, missedTokens));
    }

    private void addPending(PendingAdmissionKey key, long tokens) {
        if (tokens != 0) {
            pendingAdmissions.merge(key, tokens, (before, added) -> before + added == 0 ? null : before + added);
        }
    }

    /**
     * Admits a request of another process, for which this process is the coordinator.
     *
     * @param process name of the process
     * @param organisation name of the organisation
     * @param tokens tokens that the request uses
     * @param nowMillis monotonic time in milliseconds
     * @return true when it is admitted
     */
    public boolean tryAdmitFor(String process, String organisation, long tokens, long nowMillis) {
        QuotaAccount account = accounts.get(organisation);
        if (account == null) {
            return true;
        }
        if (!account.tryAdmit(tokens, nowMillis)) {
            return false;
        }
        addPending(new PendingAdmissionKey(process, organisation.hashCode()), tokens);
        return true;
    }

    /**
     * Refunds the tokens of another process's request that is not dispatched.
     *
     * @param process name of the process
     * @param organisation name of the organisation
     * @param tokens tokens that were admitted
     */
    public void refundFor(String process, String organisation, long tokens) {
        QuotaAccount account = accounts.get(organisation);
        if (account != null) {
            account.refund(tokens);
            addPending(new PendingAdmissionKey(process, organisation.hashCode()), -tokens);
        }
    }

    /**
     * Records a request of this process that a remote coordinator admitted, and adds it to the total that is reported
     * to the other processes.
     *
     * @param organisation name of the organisation
     * @param tokens tokens that the request uses
     * @param nowMillis monotonic time in milliseconds
     */
    public void recordCoordinatorAdmission(String organisation, long tokens, long nowMillis) {
        QuotaAccount account = accounts.get(organisation);
        if (account != null) {
            account.recordRemoteAdmission(tokens, nowMillis);
        }
        addToTotal(organisation.hashCode(), tokens);
    }

    /**
     * Sets the number of processes that admit requests.
     *
     * @param count reachable processes, this one included
     */
    public void updateProcessCount(int count) {
        processCount = count;
    }

    /**
     * Sets the time for which processes may be unreachable before the reachable share shows it.
     *
     * @param millis time in milliseconds
     */
    public void updateUnnoticedTime(long millis) {
        unnoticedMillis = millis;
    }

    /**
     * Sets the share of all buckets and of their refill that the reachable part of the fleet, this process included,
     * may use.
     *
     * @param share above 0, at most 1
     * @param nowMillis monotonic time in milliseconds
     */
    public void updateReachableShare(double share, long nowMillis) {
        if (share != reachableShare) {
            reachableShare = share;
            accounts.values().forEach(account -> account.updateReachableShare(share, unnoticedMillis, nowMillis));
        }
    }
}
