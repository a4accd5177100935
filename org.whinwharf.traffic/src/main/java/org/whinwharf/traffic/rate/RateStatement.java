package org.whinwharf.traffic.rate;

import java.util.List;
import java.util.regex.Pattern;

/**
 * What the head of a target's answer says of the requests per second that the target takes from all processes together.
 *
 * @param kind whether a rate is stated
 * @param requestsPerSecond stated rate, 0 or more; 0 if none is stated
 */
public record RateStatement(Kind kind, double requestsPerSecond) {
    /** Kinds of statements. */
    public enum Kind {
        /** The target states no rate, or one that no target reaches. */
        NONE,
        /** The target states a rate. */
        LIMIT,
        /** The target states something that is no rate, so that it shows neither that there is a limit nor its end. */
        UNREADABLE
    }

    /** Rate from which a statement bounds nothing: more than any target takes. */
    public static final double MAX_REQUESTS_PER_SECOND = 10_000;

    /** Statement of a head without a rate. */
    public static final RateStatement NONE = new RateStatement(Kind.NONE, 0);

    private static final RateStatement UNREADABLE = new RateStatement(Kind.UNREADABLE, 0);

    /** A decimal number without a sign; an exponent is allowed. */
    private static final Pattern DECIMAL = Pattern.compile("(\\d+\\.?\\d*|\\.\\d+)([eE][+-]?\\d+)?");

    /**
     * Reads the values of a head, each one rate or several separated by commas. The lowest rate applies; a head without
     * any that can be read is unreadable.
     *
     * @param values values as received; empty if the head has none
     * @return statement
     */
    public static RateStatement parse(List<String> values) {
        if (values.isEmpty()) {
            return NONE;
        }
        double lowest = Double.NaN;
        for (String value : values) {
            for (String text : value.split(",")) {
                String number = text.trim();
                if (DECIMAL.matcher(number).matches()) {
                    double rate = Double.parseDouble(number);
                    lowest = Double.isNaN(lowest) ? rate : Math.min(lowest, rate);
                }
            }
        }
        if (Double.isNaN(lowest)) {
            return UNREADABLE;
        }
        return lowest < MAX_REQUESTS_PER_SECOND ? new RateStatement(Kind.LIMIT, lowest) : NONE;
    }

    /**
     * Tells whether the target states a rate.
     *
     * @return true if it does
     */
    public boolean limited() {
        return kind == Kind.LIMIT;
    }
}
