package org.whinwharf.front;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes responses of targets; a response to a HEAD request has no body, whatever its Content-Length. */
final class TargetAnswerDecoder extends HttpResponseDecoder {
    private boolean answersHeadRequest;

    TargetAnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Sets the method of the request whose response is decoded next. */
    void setRequestMethod(HttpMethod method) {
        answersHeadRequest = method.equals(HttpMethod.HEAD);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return answersHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
