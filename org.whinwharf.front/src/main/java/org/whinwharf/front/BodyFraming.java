package org.whinwharf.front;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Locale;

/** How the end of a response's body is determined, according to its head. */
enum BodyFraming {
    /** The head declares the length, or allows no body. */
    LENGTH(true),
    /** The body is sent in chunks and ends with an empty one. */
    CHUNKED(true),
    /** The body lasts until the connection ends; nothing shows whether more was to follow. */
    UNTIL_CLOSE(false);

    private static final int NO_CONTENT_STATUS = 204;
    private static final int NOT_MODIFIED_STATUS = 304;

    private final boolean endDeclared;

    BodyFraming(boolean endDeclared) {
        this.endDeclared = endDeclared;
    }

    /** Returns the framing of a response to a request with the given method. */
    static BodyFraming of(HttpResponse response, HttpMethod requestMethod) {
        int status = response.status().code();
        boolean bodyAllowed =
                !requestMethod.equals(HttpMethod.HEAD) && status != NO_CONTENT_STATUS && status != NOT_MODIFIED_STATUS;
        if (!bodyAllowed) {
            return LENGTH;
        }
        if (HttpUtil.isTransferEncodingChunked(response)) {
            return CHUNKED;
        }
        return HttpUtil.isContentLengthSet(response) ? LENGTH : UNTIL_CLOSE;
    }

    /** Tells whether the received bytes alone show that the body is complete. */
    boolean endDeclared() {
        return endDeclared;
    }

    /** Returns the value in log lines and tags of metrics: the constant's name in lower case, with hyphens. */
    String tag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
