package org.whinwharf.home;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.whinwharf.wire.schema.StreamToken;

/** Orders the tokens of one answer, drops duplicates and detects gaps. */
final class StreamAssembler {
    private static final int MAX_OUT_OF_ORDER_TOKENS = 256;

    private final List<String> texts = new ArrayList<>();
    private final TreeMap<Integer, StreamToken> outOfOrder = new TreeMap<>();
    private boolean complete;

    /** Accepts a token and returns the tokens that it makes available in order. */
    List<StreamToken> accept(StreamToken token) {
        List<StreamToken> ready = new ArrayList<>();
        if (complete || token.getIndex() < nextIndex()) {
            return ready;
        }
        if (outOfOrder.size() < MAX_OUT_OF_ORDER_TOKENS || token.getIndex() == nextIndex()) {
            outOfOrder.put(token.getIndex(), token);
        }
        while (!complete && !outOfOrder.isEmpty() && outOfOrder.firstKey() == nextIndex()) {
            StreamToken next = outOfOrder.pollFirstEntry().getValue();
            texts.add(next.getText());
            complete = next.getLast();
            ready.add(next);
        }
        return ready;
    }

    int nextIndex() {
        return texts.size();
    }

    boolean hasGap() {
        return !complete && !outOfOrder.isEmpty();
    }

    boolean isComplete() {
        return complete;
    }

    List<String> texts() {
        return texts;
    }
}
