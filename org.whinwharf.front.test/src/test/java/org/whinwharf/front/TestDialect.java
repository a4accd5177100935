package org.whinwharf.front;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.whinwharf.traffic.rate.RateStatement;
import org.whinwharf.traffic.target.PromptPart;

/** Minimal dialect for the tests of this module, with its own header names. */
final class TestDialect implements HttpDialect {
    private static final String PROMPT = "Prompt";

    private final BiConsumer<String, DispatchParameters> dispatchListener;

    TestDialect() {
        this((attemptId, dispatch) -> {});
    }

    /**
     * Creates a dialect.
     *
     * @param dispatchListener consumer of the attempt id and the parameters of each request that is sent to a target
     */
    TestDialect(BiConsumer<String, DispatchParameters> dispatchListener) {
        this.dispatchListener = dispatchListener;
    }

    @Override
    public RequestHead readRequest(HttpRequest request) throws BadRequestException {
        String attempt = request.headers().get("Attempt");
        if (attempt == null) {
            throw new BadRequestException("missing Attempt header");
        }
        return ImmutableRequestHead.builder()
                .attemptId(attempt)
                .authority(request.headers().get("Host"))
                .path(request.uri())
                .timeoutMillis(OptionalLong.empty())
                .apiKey(Optional.empty())
                .model("")
                .promptTokens(0)
                .maxAnswerTokens(request.headers().getInt("Answer-Tokens", 0))
                .hasTokenCounts(false)
                .promptParts(promptParts(request))
                .lastEventId(Optional.ofNullable(request.headers().get("Resume-After")))
                .resumedAttemptId(Optional.ofNullable(request.headers().get("Resumes")))
                .build();
    }

    /** Returns the parts of the prompt, each as ID:TOKENS. */
    private static List<PromptPart> promptParts(HttpRequest request) {
        String prompt = request.headers().get(PROMPT, "");
        return prompt.isEmpty()
                ? List.of()
                : Stream.of(prompt.split(","))
                        .map(part -> part.split(":"))
                        .map(part -> new PromptPart(part[0], Long.parseLong(part[1])))
                        .toList();
    }

    @Override
    public HttpRequest targetRequest(HttpRequest request, DispatchParameters dispatch) {
        dispatchListener.accept(request.headers().get("Attempt"), dispatch);
        HttpHeaders headers =
                new DefaultHttpHeaders().set("Attempt", request.headers().get("Attempt"));
        headers.set("Expect-Target", dispatch.targetId());
        dispatch.lastEventId().ifPresent(id -> headers.set("Resume-After", id));
        if (request.headers().contains(PROMPT)) {
            headers.set(PROMPT, request.headers().get(PROMPT));
        }
        if (request.method().equals(HttpMethod.POST)) {
            headers.set("Content-Length", 0);
        }
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), headers);
    }

    @Override
    public ResponseHead readResponse(HttpResponse response) {
        return ImmutableResponseHead.builder()
                .status(response.status().code())
                .attemptId(response.headers().get("Attempt", ""))
                .notExecuted(response.headers().contains("Not-Run"))
                .wrongTarget(response.status().code() == 421)
                .signed(response.headers().contains("Signed"))
                .keepAliveMillis(OptionalLong.of(10_000))
                .rateStatement(RateStatement.parse(response.headers().getAll("Request-Limit")))
                .rejectionLimitPerSecond(
                        response.headers().contains("Rejection-Limit")
                                ? OptionalInt.of(response.headers().getInt("Rejection-Limit"))
                                : OptionalInt.empty())
                .build();
    }

    @Override
    public HttpHeaders callerHeaders(HttpResponse response) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (response.headers().contains("Signed")) {
            headers.set("Signed", response.headers().get("Signed"));
        }
        return headers;
    }

    @Override
    public FullHttpRequest healthCheck(String address, String path) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
    }

    @Override
    public FullHttpRequest instanceCheck(String address, String path, String targetId) {
        FullHttpRequest check = healthCheck(address, path);
        check.headers().set("Expect-Target", targetId);
        return check;
    }

    @Override
    public OptionalLong readHealth(HttpResponse response, String targetId) {
        return response.status().code() == 200 ? OptionalLong.of(0) : OptionalLong.empty();
    }

    @Override
    public FullHttpRequest runsRequest(String address) {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/runs");
    }

    @Override
    public Set<String> readRuns(String body) {
        return Set.of(body.substring(body.indexOf(';') + 1).split(","));
    }

    /** The start comes before the runs, followed by a semicolon. */
    @Override
    public OptionalLong readReportedStart(String body) {
        int end = body.indexOf(';');
        return end < 0 ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(body.substring(0, end)));
    }
}
