package org.whinwharf.entry.internal;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.whinwharf.errors.ErrorKind;
import org.whinwharf.errors.Failure;
import org.whinwharf.home.Outcome;
import org.whinwharf.wire.caller.AnswerError;
import org.whinwharf.wire.caller.EntryAddress;

/** Makes the bodies of error answers. */
final class Errors {
    private static final Map<String, ErrorKind> BY_NAME = Arrays.stream(ErrorKind.values())
            .collect(Collectors.toUnmodifiableMap(ErrorKind::wireName, Function.identity()));

    private Errors() {}

    static AnswerError of(Failure<?> failure) {
        return of(failure.kind(), failure.detail(), failure.retryAfterMillis(), "", List.of());
    }

    static AnswerError of(Outcome outcome, String requestId, List<EntryAddress> addresses) {
        ErrorKind kind = outcome.error().orElse(ErrorKind.INTERNAL);
        return of(kind, outcome.detail(), outcome.retryAfterMillis(), requestId, addresses);
    }

    static AnswerError of(
            ErrorKind kind, String detail, long comeBackMillis, String requestId, List<EntryAddress> addresses) {
        return AnswerError.newBuilder()
                .setError(kind.wireName())
                .setDetail(detail)
                .setRan(kind.ran().wireName())
                .setComeBackMillis(kind.hasRetryAfter() ? comeBackMillis : 0)
                .setRequestId(requestId)
                .addAllAddresses(addresses)
                .build();
    }

    static ErrorKind kind(String wireName) {
        return BY_NAME.getOrDefault(wireName, ErrorKind.INTERNAL);
    }
}
