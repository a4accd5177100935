package org.whinwharf.front;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * Which kinds of its responses a target names the attempt in.
 *
 * <p>A response that names no attempt may be a second copy of an earlier one over its connection. Where that has
 * carried others, it is taken for the answer to the request under way only if the target has sent such responses
 * before, and its connection has carried none that could come again. Rejections need not have been seen before, since a
 * target may reject what it has not read; one that was named shows that the target names them.
 */
final class AttemptNaming {
    /** Number of responses in succession that name their attempt after which one without a name is forgotten. */
    private static final int FORGETTING_RESPONSES = 4;

    private final Set<ResponseKind> named = EnumSet.noneOf(ResponseKind.class);
    /** Kinds of which a response was without a name, with the number of those since that had one. */
    private final Map<ResponseKind, Integer> namedSinceUnnamed = new EnumMap<>(ResponseKind.class);

    /** Records a response that names its attempt. */
    void recordNamed(ResponseKind kind) {
        named.add(kind);
        namedSinceUnnamed.computeIfPresent(kind, (key, count) -> count + 1 < FORGETTING_RESPONSES ? count + 1 : null);
    }

    /** Records a response that names no attempt, and can only answer the request under way. */
    void recordUnnamed(ResponseKind kind) {
        namedSinceUnnamed.put(kind, 0);
    }

    /**
     * Tells whether no response of a kind was without a name lately; otherwise a connection that has carried one is not
     * used again.
     */
    boolean alwaysNames(ResponseKind kind) {
        return !namedSinceUnnamed.containsKey(kind);
    }

    /**
     * Tells whether a response without a name, over a connection that has carried others, may answer the request under
     * way.
     *
     * @param carriedKinds kinds of the responses that the connection has carried
     */
    boolean mayOmit(ResponseKind kind, Set<ResponseKind> carriedKinds) {
        boolean usual = kind == ResponseKind.REJECTION && !named.contains(kind);
        return usual || namedSinceUnnamed.containsKey(kind) && !carriedKinds.contains(kind);
    }
}
