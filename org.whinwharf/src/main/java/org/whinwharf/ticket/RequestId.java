package org.whinwharf.ticket;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Identifier of a request, unique across all hosts and restarts. It also identifies the stream at the target.
 *
 * @param host name of the home's host
 * @param incarnation random number that identifies the run of the home
 * @param sequence number of the request in that incarnation
 */
public record RequestId(String host, long incarnation, long sequence) {
    private static final Pattern FORM = Pattern.compile("([a-z][a-z0-9-]{0,59})\\.([0-9a-f]{1,16})\\.([0-9a-f]{1,16})");
    private static final int HEXADECIMAL = 16;

    /**
     * Parses the text form.
     *
     * @param text {@code host.incarnation.sequence}, the numbers in hexadecimal
     * @return the identifier; empty when the text has another form
     */
    public static Optional<RequestId> parse(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long incarnation = Long.parseUnsignedLong(matcher.group(2), HEXADECIMAL);
        long sequence = Long.parseUnsignedLong(matcher.group(3), HEXADECIMAL);
        return Optional.of(new RequestId(matcher.group(1), incarnation, sequence));
    }

    @Override
    public String toString() {
        return host + "." + Long.toHexString(incarnation) + "." + Long.toHexString(sequence);
    }
}
