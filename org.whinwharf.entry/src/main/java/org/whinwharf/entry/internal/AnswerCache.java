package org.whinwharf.entry.internal;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Optional;
import org.whinwharf.home.Answer;

/** Whole answers for callers that ask again, bounded by their bytes. */
final class AnswerCache {
    private final Cache<Long, Answer> answers;

    AnswerCache(long maxBytes) {
        answers = Caffeine.newBuilder()
                .maximumWeight(maxBytes)
                .weigher((Long sequence, Answer answer) -> answer.sizeBytes())
                .executor(Runnable::run)
                .build();
    }

    void keep(long sequence, Answer answer) {
        answers.put(sequence, answer);
    }

    Optional<Answer> find(long sequence) {
        return Optional.ofNullable(answers.getIfPresent(sequence));
    }
}
