package org.whinwharf.front;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalLong;

/** The names that callers and targets use in HTTP heads; implemented by the adapter of a platform, decides nothing. */
public interface HttpDialect {
    /**
     * Reads a caller's request.
     *
     * @param request head of the request
     * @return what it says
     * @throws BadRequestException when the head is malformed
     */
    RequestHead readRequest(HttpRequest request) throws BadRequestException;

    /**
     * Makes the head that a target gets.
     *
     * @param request head as the caller sent it
     * @param dispatch how it is sent
     * @return head without framing of the body
     */
    HttpRequest targetRequest(HttpRequest request, DispatchParameters dispatch);

    /**
     * Reads the head of a target's answer.
     *
     * @param response head of the answer
     * @return what it says
     */
    ResponseHead readResponse(HttpResponse response);

    /**
     * Returns the headers of a target's answer that go to the caller.
     *
     * @param response head of the answer
     * @return headers without those that concern one connection
     */
    HttpHeaders callerHeaders(HttpResponse response);

    /**
     * Makes a health check.
     *
     * @param address address of the target
     * @param path path of its service's health check
     * @return the request
     */
    FullHttpRequest healthCheck(String address, String path);

    /**
     * Reads the answer to a health check.
     *
     * @param response head of the answer
     * @param targetId id of the target that was asked
     * @return how long the target stays cold, in milliseconds; empty when it is not healthy or is another target
     */
    OptionalLong readHealth(HttpResponse response, String targetId);
}
