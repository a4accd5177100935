package org.whinwharf.front;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** Encodes responses to callers; a response to a HEAD request has no body, whatever its head says. */
final class CallerResponseEncoder extends HttpResponseEncoder {
    private boolean answersHeadRequest;

    /** Sets the method of the request whose response is encoded next. */
    void setRequestMethod(HttpMethod method) {
        answersHeadRequest = method.equals(HttpMethod.HEAD);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return answersHeadRequest || super.isContentAlwaysEmpty(response);
    }
}
