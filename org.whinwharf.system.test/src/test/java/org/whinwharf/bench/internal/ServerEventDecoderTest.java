package org.whinwharf.bench.internal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServerEventDecoderTest {
    /*
     * The network cuts a stream anywhere, inside a letter of two bytes too; a caller would see broken text.
     */
    @Test
    void eventsCutAtEveryByteComeOutWhole() {
        byte[] bytes = "event: token\ndata: {\"text\":\"Späť\"}\n\ndata: {}\r\n\r\n".getBytes(StandardCharsets.UTF_8);
        ServerEventDecoder decoder = new ServerEventDecoder();
        List<ServerEvent> events = new ArrayList<>();
        for (byte each : bytes) {
            events.addAll(decoder.decode(List.of(ByteBuffer.wrap(new byte[] {each}))));
        }
        assertThat(events, is(List.of(new ServerEvent("token", "{\"text\":\"Späť\"}"), new ServerEvent("", "{}"))));
    }
}
