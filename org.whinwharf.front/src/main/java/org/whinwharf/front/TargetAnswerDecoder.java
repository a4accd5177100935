package org.whinwharf.front;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.regex.Pattern;

/** Decodes responses of targets; a response to a HEAD request has no body, whatever its Content-Length. */
final class TargetAnswerDecoder extends HttpResponseDecoder {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}");

    private boolean answersHeadRequest;

    TargetAnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Sets the method of the request whose response is decoded next. */
    void setRequestMethod(HttpMethod method) {
        answersHeadRequest = method.equals(HttpMethod.HEAD);
    }

    /** Tells whether bytes were received that have not been decoded. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    /** Tells whether another status line stands in a head, since a response before it was cut off. */
    static boolean holdsAnotherStatusLine(HttpResponse response) {
        return STATUS_LINE.matcher(response.status().reasonPhrase()).find()
                || response.headers().entries().stream()
                        .anyMatch(header -> STATUS_LINE
                                .matcher(header.getKey() + " " + header.getValue())
                                .find());
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return answersHeadRequest || super.isContentAlwaysEmpty(message);
    }
}
