package org.whinwharf.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.whinwharf.front.BadRequestException;
import org.whinwharf.front.DispatchParameters;
import org.whinwharf.front.RequestHead;
import org.whinwharf.front.ResponseHead;
import org.whinwharf.traffic.rate.RateStatement;
import org.whinwharf.traffic.target.PromptPart;

class PlatformDialectTest {
    private final PlatformDialect dialect = new PlatformDialect();

    private static HttpRequest request() {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a/b?c=d");
        request.headers()
                .set("Host", "h.example")
                .set("X-Attempt-Id", "9c41")
                .set("X-Model", "m")
                .set("X-Token-Usage", "1460,80")
                .set("X-Prompt-Prefix", "5c1e:800,91bd:660")
                .set("X-Deadline-Ms", "12000")
                .set("X-Api-Key", "secret");
        return request;
    }

    /** Guards against an estimate that rejects a request or exceeds what its answer may hold. */
    @ParameterizedTest
    @CsvSource({"35, 35", "35.6, 35", "400, 80", "0, -1", "-3, -1", "long, -1"})
    void estimateOfTheAnswerIsBoundedOrIgnored(String hint, long tokens) throws BadRequestException {
        HttpRequest request = request();
        request.headers().set("X-Length-Hint", hint);
        assertThat(dialect.readRequest(request).estimatedAnswerTokens().orElse(-1), is(tokens));
    }

    /** Guards against a resumed stream that is taken for a new one, or for that of another attempt. */
    @Test
    void resumedStreamIsParsed() throws BadRequestException {
        HttpRequest request = request();
        request.headers().set("Last-Event-Id", "3").set("Resumes", "e64d");
        RequestHead head = dialect.readRequest(request);
        assertThat(head.lastEventId(), is(Optional.of("3")));
        assertThat(head.resumedAttemptId(), is(Optional.of("e64d")));
        assertThat(dialect.readRequest(request()).resumedAttemptId(), is(Optional.empty()));
    }

    @Test
    void requestHeadIsParsed() throws BadRequestException {
        RequestHead head = dialect.readRequest(request());
        assertThat(head.attemptId(), is("9c41"));
        assertThat(head.path(), is("/a/b"));
        assertThat(head.promptTokens(), is(1_460L));
        assertThat(head.maxAnswerTokens(), is(80L));
        assertThat(head.timeoutMillis(), is(OptionalLong.of(12_000)));
        assertThat(head.promptParts(), contains(new PromptPart("5c1e", 800), new PromptPart("91bd", 660)));
        assertThat(head.apiKey(), is(Optional.of("secret")));
    }

    @Test
    void requestWithoutOneAttemptIdIsMalformed() {
        HttpRequest request = request();
        request.headers().add("X-Attempt-Id", "other");
        assertThrows(BadRequestException.class, () -> dialect.readRequest(request));
        request.headers().remove("X-Attempt-Id");
        assertThrows(BadRequestException.class, () -> dialect.readRequest(request));
    }

    /**
     * A caller sets headers that only this system may set, or lists a header in its Connection header. If they were
     * forwarded, the target would use the name of another organisation, reserve memory for the caller, or execute a
     * request meant for another target.
     */
    @Test
    void headersReservedForTheSystemAreNotTakenFromTheCaller() {
        HttpRequest request = request();
        request.headers()
                .set("X-Tenant", "forged")
                .set("X-Expect-Instance", "forged")
                .set("X-Hold", "forged")
                .set("X-Pin-Ms", "4000")
                .set("X-Kv-Backup", "10.0.0.1:1")
                .set("Kv-From", "10.0.0.1:1/x")
                .set("Connection", "keep-alive, X-Secret")
                .set("X-Secret", "s");
        HttpRequest sent = dialect.targetRequest(
                request, new DispatchParameters("i-1", Optional.of("obec"), 900, Optional.empty()));
        assertThat(sent.headers().get("X-Tenant"), is("obec"));
        assertThat(sent.headers().get("X-Expect-Instance"), is("i-1"));
        assertThat(sent.headers().get("X-Deadline-Ms"), is("900"));
        assertThat(sent.headers().get("X-Attempt-Id"), is("9c41"));
        assertThat(sent.headers().get("X-Prompt-Prefix"), is("5c1e:800,91bd:660"));
        for (String absent : new String[] {"X-Api-Key", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "X-Secret"}) {
            assertThat(absent, sent.headers().get(absent), nullValue());
        }
        assertThat(sent.uri(), is("/a/b?c=d"));
    }

    @Test
    void publicRequestNamesNoOrganisation() {
        HttpRequest request = request();
        request.headers().set("X-Tenant", "forged");
        HttpRequest sent =
                dialect.targetRequest(request, new DispatchParameters("i-1", Optional.empty(), 900, Optional.empty()));
        assertThat(sent.headers().get("X-Tenant"), nullValue());
    }

    @Test
    void responseTellsWhetherTheRequestWasExecuted() {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
        assertThat(dialect.readResponse(response).notExecuted(), is(false));
        response.headers().set("X-Not-Executed", "1").set("Keep-Alive", "timeout=4, max=9");
        ResponseHead head = dialect.readResponse(response);
        assertThat(head.notExecuted(), is(true));
        assertThat(head.keepAliveMillis(), is(OptionalLong.of(4_000)));
    }

    /** Guards against crashing workers because a limit that can't be read counts as none. */
    @Test
    void rejectionLimitIsReadFromAnyResponse() {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
        assertThat(dialect.readResponse(response).rejectionLimitPerSecond(), is(OptionalInt.empty()));
        response.headers().set("Server-Brittle", "6");
        assertThat(dialect.readResponse(response).rejectionLimitPerSecond(), is(OptionalInt.of(6)));
        response.headers().set("Server-Brittle", "some");
        assertThat(dialect.readResponse(response).rejectionLimitPerSecond(), is(OptionalInt.of(0)));
    }

    /** Guards against workers that get more requests than they take because the limit is not read. */
    @Test
    void requestLimitIsReadFromAnyResponse() {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
        assertThat(dialect.readResponse(response).rateStatement(), is(RateStatement.NONE));
        response.headers().add("Server-Limit", "3.6").add("server-limit", "2.4");
        assertThat(dialect.readResponse(response).rateStatement().requestsPerSecond(), is(2.4));
        response.headers().set("Server-Limit", "");
        assertThat(dialect.readResponse(response).rateStatement().kind(), is(RateStatement.Kind.UNREADABLE));
    }

    /** The address of a removed target is reused by another target, which is healthy. */
    @Test
    void healthyResponseOfAnotherTargetIsRejected() {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set("X-Instance-Id", "i-2").set("X-Cold-Ms", "1500");
        assertThat(dialect.readHealth(response, "i-1"), is(OptionalLong.empty()));
        assertThat(dialect.readHealth(response, "i-2"), is(OptionalLong.of(1_500)));
    }

    /** Guards against a report of another form, or of another program at the address, that is taken for runs. */
    @Test
    void runsOfAReportAreNamedByTheirAttempts() {
        assertThat(dialect.readRuns("{\"state\":\"ready\",\"runs\":[[\"a\",10,2,0],[\"b\",5,0,1]]}"), is(Set.of("a")));
        assertThat(dialect.readRuns("{\"runs\":[[],{},5]}"), is(Set.of()));
        assertThat(dialect.readRuns("{}"), is(Set.of()));
        assertThat(dialect.readRuns("no report"), is(Set.of()));
    }

    /** Guards against runs that are taken for those of a process which has ended. */
    @Test
    void reportTellsTheStartOfItsProcess() {
        assertThat(
                dialect.readReportedStart("{\"born\":1700000000000,\"runs\":[]}"), is(OptionalLong.of(1700000000000L)));
        assertThat(dialect.readReportedStart("{\"born\":\"x\"}"), is(OptionalLong.empty()));
        assertThat(dialect.readReportedStart("{}"), is(OptionalLong.empty()));
        assertThat(dialect.readReportedStart("no report"), is(OptionalLong.empty()));
    }
}
