package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;

/** The beginning of a response that becomes the caller's only if the run before it brings none. */
final class HeldResponse {
    private static final int MAX_CHUNKS = 1024;

    private final HttpResponse response;
    private final ResponseHead head;
    private final CompositeByteBuf body = Unpooled.compositeBuffer(MAX_CHUNKS);

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
        body.addComponent(true, chunk);
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
