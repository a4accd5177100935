package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;

/** The beginning of a response that becomes the caller's only if the run before it brings none. */
final class HeldResponse {
    private final HttpResponse response;
    private final ResponseHead head;
    private final ByteBuf body = Unpooled.buffer();

    HeldResponse(HttpResponse response, ResponseHead head) {
        this.response = response;
        this.head = head;
    }

    HttpResponse response() {
        return response;
    }

    ResponseHead head() {
        return head;
    }

    /** Adds a chunk of the body, and takes it over. */
    void append(ByteBuf chunk) {
        body.writeBytes(chunk);
        chunk.release();
    }

    int bodyBytes() {
        return body.readableBytes();
    }

    /** Returns the body so far; the caller has to release it. */
    ByteBuf takeBody() {
        return body.retainedSlice();
    }

    void release() {
        body.release();
    }
}
