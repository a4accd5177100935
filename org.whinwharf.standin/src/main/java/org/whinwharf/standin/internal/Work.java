package org.whinwharf.standin.internal;

import java.util.List;
import org.whinwharf.standin.StandInText;
import org.whinwharf.wire.schema.StreamOrder;
import org.whinwharf.wire.schema.StreamToken;

/** One stream of a batch. */
final class Work {
    private static final int DEFAULT_TOKENS = 256;

    final String id;
    final String model;
    final String prompt;
    final List<String> digests;
    final int promptTokens;
    final int tokens;
    final long startMillis;
    int prefillTokens;
    int posts = 1;
    int made;
    double nextTokenMillis;
    long endMillis;
    Outcome outcome = Outcome.RUNNING;
    private final long seed;

    /** How a stream stands. */
    enum Outcome {
        RUNNING,
        COMPLETED,
        CANCELLED,
        FAILED
    }

    Work(StreamOrder order, long startMillis) {
        this.id = order.getId();
        this.model = order.getModel();
        this.prompt = order.getPrompt();
        this.digests = PrefixCache.digests(prompt);
        this.promptTokens = PrefixCache.tokens(prompt);
        this.tokens = order.getMaxTokens() > 0 ? order.getMaxTokens() : DEFAULT_TOKENS;
        this.startMillis = startMillis;
        this.seed = StandInText.seed(id, prompt);
    }

    StreamToken makeToken() {
        StreamToken.Builder token = StreamToken.newBuilder().setIndex(made).setText(StandInText.token(seed, made));
        if (made == 0) {
            token.setPrefillTokens(prefillTokens).setPromptTokens(promptTokens);
        }
        made++;
        return token.setLast(made == tokens).build();
    }

    void end(Outcome how, long nowMillis) {
        outcome = how;
        endMillis = nowMillis;
    }
}
