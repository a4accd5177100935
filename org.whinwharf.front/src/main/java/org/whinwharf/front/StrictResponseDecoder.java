package org.whinwharf.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Set;

/**
 * Decodes responses whose status lines are sound: version 1.0 or 1.1, one space, and three digits that give 100 to 599.
 *
 * <p>Any other head is reported as a message that failed to decode. So is 101, since nothing here asks for another
 * protocol, and the bytes behind it could not be read. A transfer coding other than chunks is not asked for either, and
 * one beside a length leaves the end of the body open.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    private static final Set<String> VERSIONS = Set.of("HTTP/1.0", "HTTP/1.1");
    private static final int STATUS_DIGITS = 3;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    /**
     * Creates a decoder.
     *
     * @param config limits of the decoder
     */
    public StrictResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
        String version = super.splitFirstWordInitialLine(line, start, length);
        if (!VERSIONS.contains(version)) {
            throw new IllegalArgumentException("not a version of a response: " + version);
        }
        return version;
    }

    @Override
    protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
        String status = super.splitSecondWordInitialLine(line, start, length);
        if (length != STATUS_DIGITS || !status.chars().allMatch(StrictResponseDecoder::isDigit)) {
            throw new IllegalArgumentException("not a status: " + status);
        }
        if (line[start - 1] != ' ' || !isVisible(line[start - 2])) {
            throw new IllegalArgumentException("not one space before the status");
        }
        return status;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        int status = Integer.parseInt(initialLine[1]);
        if (status < MIN_STATUS || status > MAX_STATUS || status == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            throw new IllegalArgumentException("not a status of a response: " + status);
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        int before = out.size();
        super.decode(context, in, out);
        if (out.size() > before
                && out.get(before) instanceof HttpMessage message
                && message.decoderResult().isSuccess()
                && !hasReadableCoding(message)) {
            message.setDecoderResult(DecoderResult.failure(new CorruptedFrameException("transfer coding")));
        }
    }

    private static boolean hasReadableCoding(HttpMessage message) {
        String codings = String.join(",", message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING));
        return codings.isBlank() || HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.strip());
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("length beside a transfer coding");
    }

    private static boolean isDigit(int character) {
        return character >= '0' && character <= '9';
    }

    private static boolean isVisible(byte character) {
        return character > ' ';
    }
}
