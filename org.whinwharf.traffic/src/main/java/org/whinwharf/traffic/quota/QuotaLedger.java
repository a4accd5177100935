package org.whinwharf.traffic.quota;

import java.util.HashMap;
import java.util.Map;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.Organisation;
import org.whinwharf.traffic.member.MemberTable;

/** Quota accounts of all organisations, and the totals of admitted tokens that this process reports to the others. */
public final class QuotaLedger {
    private static final long NO_BASELINE = -1;

    private final boolean freshFleet;
    private final Map<String, QuotaAccount> accounts = new HashMap<>();
    private final Map<Integer, Long> admittedTotals = new HashMap<>();
    private final Map<Integer, Long> refundedTokens = new HashMap<>();
    private final Map<String, ProcessTotals> totalsByProcess = new HashMap<>();
    private final Map<PendingAdmissionKey, Long> pendingAdmissions = new HashMap<>();
    private final Map<Integer, String> organisationNamesByDigest = new HashMap<>();
    private double reachableShare = 1;
    private int processCount = 1;

    /**
     * Admitted totals reported by the current incarnation of one process, by digest of the organisation's name.
     *
     * @param baselineAtMillis time at which the process was first seen; the totals received at that time date from
     *     before and are not charged; negative for none
     */
    private record ProcessTotals(long incarnation, long baselineAtMillis, Map<Integer, Long> totals) {
        /** Returns whether the process was restarted after it was first seen. */
        boolean restarted() {
            return baselineAtMillis == NO_BASELINE;
        }
    }

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
                account.updateReachableShare(reachableShare, nowMillis);
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
        admittedTotals.merge(digest, tokens - refunded, Long::sum);
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
        return account == null ? 0 : account.retryAfterMillis(1 + totalsByProcess.size());
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
        return admittedTotals;
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
        ProcessTotals processTotals = totalsByProcess.get(process);
        if (processTotals == null) {
            processTotals = new ProcessTotals(incarnation, nowMillis, new HashMap<>());
            totalsByProcess.put(process, processTotals);
        } else if (processTotals.incarnation() != incarnation) {
            processTotals = new ProcessTotals(incarnation, NO_BASELINE, new HashMap<>());
            totalsByProcess.put(process, processTotals);
            pendingAdmissions.keySet().removeIf(key -> key.process().equals(process));
        }
        long previousTotal = processTotals.totals().getOrDefault(organisationDigest, 0L);
        if (total <= previousTotal) {
            return;
        }
        processTotals.totals().put(organisationDigest, total);
        if (previousTotal == 0 && processTotals.baselineAtMillis() == nowMillis) {
            return;
        }
        String name = organisationNamesByDigest.get(organisationDigest);
        QuotaAccount account = name == null ? null : accounts.get(name);
        if (account != null) {
            long alreadyCharged = Math.min(
                    total - previousTotal,
                    pendingAdmissions.getOrDefault(new PendingAdmissionKey(process, organisationDigest), 0L));
            pendingAdmissions.merge(new PendingAdmissionKey(process, organisationDigest), -alreadyCharged, Long::sum);
            long newTokens = total - previousTotal - alreadyCharged;
            if (processTotals.restarted()) {
                // A process that was down has used nothing of the refill that was left to it.
                account.recordRemoteAdmission(newTokens, nowMillis);
            } else {
                account.recordLateAdmission(newTokens, nowMillis);
            }
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
        pendingAdmissions.merge(new PendingAdmissionKey(process, organisation.hashCode()), tokens, Long::sum);
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
            pendingAdmissions.merge(new PendingAdmissionKey(process, organisation.hashCode()), -tokens, Long::sum);
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
     * Sets the share of the refill that the reachable part of the fleet, this process included, may use.
     *
     * @param share above 0, at most 1
     * @param nowMillis monotonic time in milliseconds
     */
    public void updateReachableShare(double share, long nowMillis) {
        if (share != reachableShare) {
            reachableShare = share;
            accounts.values().forEach(account -> account.updateReachableShare(share, nowMillis));
        }
    }
}
