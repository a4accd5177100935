package org.whinwharf.front;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Translates between HTTP heads and the types of this package, by the header names that callers and targets use.
 *
 * <p>Implemented by the adapter of a platform; an implementation makes no scheduling decisions.
 */
public interface HttpDialect {
    /**
     * Parses the head of a caller's request.
     *
     * @param request head of the request
     * @return the parsed head
     * @throws BadRequestException if the head is malformed
     */
    RequestHead readRequest(HttpRequest request) throws BadRequestException;

    /**
     * Creates the head of the request to a target.
     *
     * @param request head as received from the caller
     * @param dispatch parameters of the dispatch
     * @return head without headers for the framing of the body
     */
    HttpRequest targetRequest(HttpRequest request, DispatchParameters dispatch);

    /**
     * Parses the head of a target's response.
     *
     * @param response head of the response
     * @return the parsed head
     */
    ResponseHead readResponse(HttpResponse response);

    /**
     * Returns the headers of a target's response that are forwarded to the caller.
     *
     * @param response head of the response
     * @return headers without the hop-by-hop ones
     */
    HttpHeaders callerHeaders(HttpResponse response);

    /**
     * Creates a health check request.
     *
     * @param address address of the target
     * @param path path of the health check of the target's service
     * @return the request
     */
    FullHttpRequest healthCheck(String address, String path);

    /**
     * Creates a health check that is meant for one process: any other one at the address answers that it is the wrong
     * target.
     *
     * @param address address of the target
     * @param path path of the health check of the target's service
     * @param targetId id of the target
     * @return the request
     */
    FullHttpRequest instanceCheck(String address, String path, String targetId);

    /**
     * Parses the response to a health check.
     *
     * @param response head of the response
     * @param targetId id of the checked target
     * @return how long the target stays cold, in milliseconds; empty when it is unhealthy or another target responded
     */
    OptionalLong readHealth(HttpResponse response, String targetId);

    /**
     * Creates a request for the runs that a target works on.
     *
     * @param address address of the target
     * @return the request
     */
    FullHttpRequest runsRequest(String address);

    /**
     * Parses the response to such a request.
     *
     * @param body body of the response
     * @return ids of the attempts whose runs have made an event; empty if the body is not readable
     */
    Set<String> readRuns(String body);

    /**
     * Parses the start of the process that sent such a response.
     *
     * @param body body of the response
     * @return start, in Unix milliseconds; empty if the body does not tell it
     */
    OptionalLong readReportedStart(String body);
}
