package org.whinwharf.traffic.quota;

import java.util.HashMap;
import java.util.Map;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.Organisation;
import org.whinwharf.traffic.member.MemberTable;

/** Quota accounts of all organisations, with the totals that this process tells the others. */
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
     * What the present lifetime of one process said that it admitted, by digest of the organisation's name.
     *
     * @param baselineAtMillis time at which its totals date from before this process knew it; negative for none
     */
    private record ProcessTotals(long incarnation, long baselineAtMillis, Map<Integer, Long> totals) {}

    /** Use that was taken from an account here for a process that will say later that it admitted it. */
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
     * Takes the quotas of a new catalog.
     *
     * @param catalog the catalog
     * @param nowMillis steady time in milliseconds
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
     * Admits a request if its organisation's quota allows it.
     *
     * @param organisation name of the organisation
     * @param tokens what the request uses
     * @param nowMillis steady time in milliseconds
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
     * Admits a request for which no coordinator can be asked, in a large fleet at this process's own pace.
     *
     * @param organisation name of the organisation
     * @param tokens what the request uses
     * @param nowMillis steady time in milliseconds
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
        long unused = Math.min(tokens, refundedTokens.getOrDefault(digest, 0L));
        refundedTokens.merge(digest, -unused, Long::sum);
        admittedTotals.merge(digest, tokens - unused, Long::sum);
    }

    /**
     * Gives back the use of a request that has not run. The total told to others only grows, so they learn of it as a
     * smaller growth.
     *
     * @param organisation name of the organisation
     * @param tokens what was admitted
     */
    public void refund(String organisation, long tokens) {
        QuotaAccount account = accounts.get(organisation);
        if (account != null) {
            account.refund(tokens);
        }
        refundedTokens.merge(organisation.hashCode(), tokens, Long::sum);
    }

    /**
     * Returns when a caller of a refused organisation should come back.
     *
     * @param organisation name of the organisation
     * @return time in milliseconds; 0 when it has no quota
     */
    public long retryAfterMillis(String organisation) {
        QuotaAccount account = accounts.get(organisation);
        return account == null ? 0 : account.retryAfterMillis(1 + totalsByProcess.size());
    }

    /**
     * Returns what is left of an organisation's quota.
     *
     * @param organisation name of the organisation
     * @param nowMillis steady time in milliseconds
     * @return tokens, below 0 a debt; 0 when it has no quota
     */
    public long levelTokens(String organisation, long nowMillis) {
        QuotaAccount account = accounts.get(organisation);
        return account == null ? 0 : account.levelTokens(nowMillis);
    }

    /**
     * Returns what this process admitted since its start.
     *
     * @return totals by digest of the organisation's name
     */
    public Map<Integer, Long> admittedTotals() {
        return admittedTotals;
    }

    /**
     * Takes another process's total. A new lifetime of the process replaces the one before, whose use is counted
     * already. The first totals of a process that was not known are those of its whole life: a restarted process that
     * took them for news would owe half a minute's quota and refuse everybody until that is paid off.
     *
     * @param process name of the process
     * @param incarnation its lifetime
     * @param organisationDigest digest of the organisation's name
     * @param total what it admitted since its start
     * @param nowMillis steady time in milliseconds
     */
    public void receiveTotal(String process, long incarnation, int organisationDigest, long total, long nowMillis) {
        ProcessTotals heard = totalsByProcess.get(process);
        if (heard == null) {
            heard = new ProcessTotals(incarnation, nowMillis, new HashMap<>());
            totalsByProcess.put(process, heard);
        } else if (heard.incarnation() != incarnation) {
            heard = new ProcessTotals(incarnation, NO_BASELINE, new HashMap<>());
            totalsByProcess.put(process, heard);
            pendingAdmissions.keySet().removeIf(advance -> advance.process().equals(process));
        }
        long before = heard.totals().getOrDefault(organisationDigest, 0L);
        if (total <= before) {
            return;
        }
        heard.totals().put(organisationDigest, total);
        if (before == 0 && heard.baselineAtMillis() == nowMillis) {
            return;
        }
        String name = organisationNamesByDigest.get(organisationDigest);
        QuotaAccount account = name == null ? null : accounts.get(name);
        if (account != null) {
            long taken = Math.min(
                    total - before,
                    pendingAdmissions.getOrDefault(new PendingAdmissionKey(process, organisationDigest), 0L));
            pendingAdmissions.merge(new PendingAdmissionKey(process, organisationDigest), -taken, Long::sum);
            account.recordRemoteAdmission(total - before - taken, nowMillis);
        }
    }

    /**
     * Admits a request of another process, for which this one coordinates.
     *
     * @param process name of the process
     * @param organisation name of the organisation
     * @param tokens what the request uses
     * @param nowMillis steady time in milliseconds
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
     * Gives back what a request of another process used that is not sent.
     *
     * @param process name of the process
     * @param organisation name of the organisation
     * @param tokens what was admitted
     */
    public void refundFor(String process, String organisation, long tokens) {
        QuotaAccount account = accounts.get(organisation);
        if (account != null) {
            account.refund(tokens);
            pendingAdmissions.merge(new PendingAdmissionKey(process, organisation.hashCode()), -tokens, Long::sum);
        }
    }

    /**
     * Notes a request of this process that a coordinator elsewhere admitted, so that all others hear of it too.
     *
     * @param organisation name of the organisation
     * @param tokens what it uses
     * @param nowMillis steady time in milliseconds
     */
    public void recordCoordinatorAdmission(String organisation, long tokens, long nowMillis) {
        QuotaAccount account = accounts.get(organisation);
        if (account != null) {
            account.recordRemoteAdmission(tokens, nowMillis);
        }
        addToTotal(organisation.hashCode(), tokens);
    }

    /**
     * Sets how many processes admit requests.
     *
     * @param count processes that are heard from, this one included
     */
    public void updateProcessCount(int count) {
        processCount = count;
    }

    /**
     * Sets which part of the fleet this process hears from, itself included.
     *
     * @param share above 0, at most 1
     * @param nowMillis steady time in milliseconds
     */
    public void updateReachableShare(double share, long nowMillis) {
        if (share != reachableShare) {
            reachableShare = share;
            accounts.values().forEach(account -> account.updateReachableShare(share, nowMillis));
        }
    }
}
