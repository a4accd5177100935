package org.whinwharf.traffic.quota;

import java.util.HashMap;
import java.util.Map;
import org.whinwharf.traffic.catalog.Catalog;
import org.whinwharf.traffic.catalog.Organisation;

/** Quota accounts of all organisations, with the totals that this process tells the others. */
public final class QuotaLedger {
    private final boolean freshFleet;
    private final Map<String, QuotaAccount> accounts = new HashMap<>();
    private final Map<Integer, Long> admittedTotals = new HashMap<>();
    private final Map<Integer, Long> givenBack = new HashMap<>();
    private final Map<String, Heard> heardByProcess = new HashMap<>();
    private final Map<Integer, String> namesByDigest = new HashMap<>();
    private double reachableShare = 1;

    /** What the present lifetime of one process said that it admitted, by digest of the organisation's name. */
    private record Heard(long incarnation, Map<Integer, Long> totals) {}

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
            namesByDigest.put(organisation.name().hashCode(), organisation.name());
            if (organisation.quotaTokensPerSecond() <= 0) {
                accounts.remove(organisation.name());
                continue;
            }
            double rate = organisation.quotaTokensPerSecond();
            double burst = Math.max(organisation.quotaBurstTokens(), 1);
            QuotaAccount account = accounts.get(organisation.name());
            if (account == null) {
                account = new QuotaAccount(rate, burst, freshFleet, nowMillis);
                account.reachableShare(reachableShare, nowMillis);
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
        int digest = organisation.hashCode();
        long unused = Math.min(tokens, givenBack.getOrDefault(digest, 0L));
        givenBack.merge(digest, -unused, Long::sum);
        admittedTotals.merge(digest, tokens - unused, Long::sum);
        return true;
    }

    /**
     * Gives back the use of a request that has not run. The total told to others only grows, so they learn of it as a
     * smaller growth.
     *
     * @param organisation name of the organisation
     * @param tokens what was admitted
     */
    public void giveBack(String organisation, long tokens) {
        QuotaAccount account = accounts.get(organisation);
        if (account != null) {
            account.giveBack(tokens);
        }
        givenBack.merge(organisation.hashCode(), tokens, Long::sum);
    }

    /**
     * Returns when a caller of a refused organisation should come back.
     *
     * @param organisation name of the organisation
     * @return time in milliseconds; 0 when it has no quota
     */
    public long comeBackMillis(String organisation) {
        QuotaAccount account = accounts.get(organisation);
        return account == null ? 0 : account.comeBackMillis(1 + heardByProcess.size());
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
     * already.
     *
     * @param process name of the process
     * @param incarnation its lifetime
     * @param organisationDigest digest of the organisation's name
     * @param total what it admitted since its start
     * @param nowMillis steady time in milliseconds
     */
    public void heard(String process, long incarnation, int organisationDigest, long total, long nowMillis) {
        Heard heard = heardByProcess.get(process);
        if (heard == null || heard.incarnation() != incarnation) {
            heard = new Heard(incarnation, new HashMap<>());
            heardByProcess.put(process, heard);
        }
        long before = heard.totals().getOrDefault(organisationDigest, 0L);
        if (total <= before) {
            return;
        }
        heard.totals().put(organisationDigest, total);
        String name = namesByDigest.get(organisationDigest);
        QuotaAccount account = name == null ? null : accounts.get(name);
        if (account != null) {
            account.admittedElsewhere(total - before, nowMillis);
        }
    }

    /**
     * Sets which part of the fleet this process hears from, itself included.
     *
     * @param share above 0, at most 1
     * @param nowMillis steady time in milliseconds
     */
    public void reachableShare(double share, long nowMillis) {
        if (share != reachableShare) {
            reachableShare = share;
            accounts.values().forEach(account -> account.reachableShare(share, nowMillis));
        }
    }
}
