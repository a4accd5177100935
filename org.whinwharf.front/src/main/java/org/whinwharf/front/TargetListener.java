package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Follows one request at a target. */
interface TargetListener {
    /** Takes the head of the answer. */
    void head(HttpResponse response, ResponseHead head);

    /** Takes a piece of the body; the buffer is the caller's to release. */
    void content(ByteBuf piece);

    /** Notes that the whole answer came. */
    void complete();

    /** Notes that no whole answer will come. */
    void failed(TargetFailure failure);
}
