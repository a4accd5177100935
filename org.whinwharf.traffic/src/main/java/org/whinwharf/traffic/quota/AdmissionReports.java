package org.whinwharf.traffic.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Selects which organisations' admitted totals go into the next report of this process, so that the size of a report
 * does not depend on the number of organisations.
 *
 * <p>A report holds organisations whose totals have changed since they were last reported: those with the most
 * unreported tokens, which could exceed their quota elsewhere, and those that have waited longest. As reports may be
 * lost, it also repeats some of those that were reported lately, each in its turn.
 */
public final class AdmissionReports {
    /** Maximum number of changed organisations in a report that are chosen by their unreported tokens. */
    private static final int MAX_LARGEST = 8;
    /** Maximum number of changed organisations in a report. */
    private static final int MAX_CHANGED = 32;
    /** Time after a change for which an organisation is repeated: longer than any quota window. */
    private static final long REPEAT_MILLIS = 20_000;

    /**
     * An organisation's entry in a report.
     *
     * @param organisationDigest digest of the organisation's name
     * @param admittedTotal tokens admitted since the start of the process
     * @param reportedTotal the total in the entry before this one; 0 if there is none
     */
    public record Entry(int organisationDigest, long admittedTotal, long reportedTotal) {
        private long unreportedTokens() {
            return admittedTotal - reportedTotal;
        }
    }

    private final Map<Integer, Long> admittedTotals = new HashMap<>();
    /** Totals in the last report of organisations that have changed since, the longest unreported ones first. */
    private final Map<Integer, Long> reportedTotals = new LinkedHashMap<>();
    /** Times of the last changes, in milliseconds, of the organisations that are repeated. */
    private final Map<Integer, Long> changedAtMillis = new HashMap<>();

    private final Deque<Integer> repeats = new ArrayDeque<>();

    /**
     * Adds admitted tokens of an organisation.
     *
     * @param organisationDigest digest of the organisation's name
     * @param tokens tokens, not negative
     */
    void add(int organisationDigest, long tokens) {
        long before = admittedTotals.getOrDefault(organisationDigest, 0L);
        admittedTotals.put(organisationDigest, before + tokens);
        if (tokens > 0) {
            reportedTotals.putIfAbsent(organisationDigest, before);
        }
    }

    /** Returns the admitted totals by digest of the organisation's name. */
    Map<Integer, Long> admittedTotals() {
        return admittedTotals;
    }

    /**
     * Returns the entries of the next report, and takes them as reported.
     *
     * @param maxRepeats maximum number of entries that repeat earlier ones
     * @param nowMillis monotonic time in milliseconds
     * @return entries, one for each organisation
     */
    List<Entry> next(int maxRepeats, long nowMillis) {
        List<Entry> entries = new ArrayList<>();
        addRepeats(entries, maxRepeats, nowMillis);
        int maxOldest = MAX_CHANGED;
        if (reportedTotals.size() > MAX_CHANGED) {
            largest().forEach(entry -> addChanged(entries, entry, nowMillis));
            maxOldest -= MAX_LARGEST;
        }
        oldest(maxOldest).forEach(entry -> addChanged(entries, entry, nowMillis));
        return entries;
    }

    private void addChanged(List<Entry> entries, Entry entry, long nowMillis) {
        entries.add(entry);
        reportedTotals.remove(entry.organisationDigest());
        if (changedAtMillis.put(entry.organisationDigest(), nowMillis) == null) {
            repeats.addLast(entry.organisationDigest());
        }
    }

    private void addRepeats(List<Entry> entries, int maxRepeats, long nowMillis) {
        int repeated = 0;
        for (int i = repeats.size(); i > 0 && repeated < maxRepeats; i--) {
            int digest = repeats.removeFirst();
            if (nowMillis - changedAtMillis.get(digest) > REPEAT_MILLIS) {
                changedAtMillis.remove(digest);
                continue;
            }
            repeats.addLast(digest);
            if (!reportedTotals.containsKey(digest)) {
                long total = admittedTotals.get(digest);
                entries.add(new Entry(digest, total, total));
                repeated++;
            }
        }
    }

    private List<Entry> oldest(int maxCount) {
        List<Entry> oldest = new ArrayList<>();
        Iterator<Integer> digests = reportedTotals.keySet().iterator();
        while (digests.hasNext() && oldest.size() < maxCount) {
            oldest.add(entry(digests.next()));
        }
        return oldest;
    }

    private List<Entry> largest() {
        PriorityQueue<Entry> largest = new PriorityQueue<>(Comparator.comparingLong(Entry::unreportedTokens));
        for (int digest : reportedTotals.keySet()) {
            largest.add(entry(digest));
            if (largest.size() > MAX_LARGEST) {
                largest.remove();
            }
        }
        return List.copyOf(largest);
    }

    private Entry entry(int digest) {
        return new Entry(digest, admittedTotals.get(digest), reportedTotals.get(digest));
    }
}
