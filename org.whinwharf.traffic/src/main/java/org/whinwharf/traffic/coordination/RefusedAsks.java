package org.whinwharf.traffic.coordination;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.whinwharf.traffic.target.PromptPart;

/**
 * Requests that were refused a moment ago, so that a caller that comes back is known again.
 *
 * <p>Its objective runs from its first attempt, which the second one does not say. Taken for new, it would be served in
 * the place of one that can still be on time, and under overload nearly every answer would be late. As many callers are
 * turned away for good either way.
 */
final class RefusedAsks {
    /** Requests remembered: what the largest fleet in use refuses in ten seconds of twice its load. */
    private static final int MOST = 8_192;
    /** Difference up to which two deadlines are the same: what two ways from the caller to here may differ by. */
    private static final long SAME_DEADLINE_MILLIS = 200;

    private final Map<Prompt, First> first = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Prompt, First> eldest) {
            return size() > MOST;
        }
    };

    /** What is the same in all attempts of one request, and hardly in two requests. */
    private record Prompt(String organisation, int tierRank, long tokens, String lastPart) {
        static Prompt of(Ask ask) {
            List<PromptPart> parts = ask.demand().parts();
            return new Prompt(
                    ask.organisation().orElse(""),
                    ask.demand().tierRank(),
                    ask.demand().promptTokens(),
                    parts.isEmpty() ? "" : parts.get(parts.size() - 1).id());
        }
    }

    private record First(long deadlineAtMillis, long onTimeUntilMillis) {
        boolean sameDeadline(Ask ask) {
            return Math.abs(deadlineAtMillis - ask.deadlineAtMillis()) <= SAME_DEADLINE_MILLIS;
        }
    }

    /**
     * Notes a request that is refused.
     *
     * @param ask the request
     */
    void refused(Ask ask) {
        if (ask.demand().parts().isEmpty()) {
            return;
        }
        Prompt prompt = Prompt.of(ask);
        First known = first.remove(prompt);
        boolean again = known != null && known.sameDeadline(ask);
        first.put(prompt, again ? known : new First(ask.deadlineAtMillis(), ask.onTimeUntilMillis()));
    }

    /**
     * Returns until when the first attempt of a request could be on time.
     *
     * @param ask a request
     * @return steady time in milliseconds; empty when it was not refused before
     */
    OptionalLong onTimeUntilMillis(Ask ask) {
        First known = first.get(Prompt.of(ask));
        return known != null && known.sameDeadline(ask)
                ? OptionalLong.of(known.onTimeUntilMillis())
                : OptionalLong.empty();
    }
}
