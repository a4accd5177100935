package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to one request at a target. */
interface TargetListener {
    /** Receives the head of the response. */
    void head(HttpResponse response, ResponseHead head);

    /** Receives a chunk of the body; the implementation must release the buffer. */
    void content(ByteBuf chunk);

    /** Called when the response is complete. */
    void complete();

    /** Called when no complete response will be received. */
    void failed(TargetFailure failure);
}
