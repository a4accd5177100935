package org.whinwharf.front;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Reads answers of targets; the answer to a HEAD request has no body, whatever length it names. */
final class TargetAnswerDecoder extends HttpResponseDecoder {
    private boolean answersHeadRequest;

    TargetAnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Notes the method of the request whose answer comes next. */
    void setRequestMethod(HttpMethod method) {
        answersHeadRequest = method.equals(HttpMethod.HEAD);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return answersHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
