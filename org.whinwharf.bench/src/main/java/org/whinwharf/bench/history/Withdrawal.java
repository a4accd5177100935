package org.whinwharf.bench.history;

/**
 * Time in which a data centre or a target was to receive no new work.
 *
 * @param dataCentre data centre that was out; empty when one target was
 * @param target target that was leaving; empty when a data centre was out
 * @param fromMillis when operators took it out, in Unix milliseconds
 * @param untilMillis when it came back, in Unix milliseconds
 */
public record Withdrawal(String dataCentre, String target, long fromMillis, long untilMillis) {
    boolean covers(Admission admission, long graceMillis) {
        boolean place =
                dataCentre.isEmpty() ? target.equals(admission.target()) : dataCentre.equals(admission.dataCentre());
        long atMillis = admission.startMillis();
        return place && atMillis > fromMillis + graceMillis && atMillis < untilMillis;
    }
}
