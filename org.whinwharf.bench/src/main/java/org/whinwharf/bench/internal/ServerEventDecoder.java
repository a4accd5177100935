package org.whinwharf.bench.internal;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Takes the bytes of one connection, cut wherever the network cut them, and gives its server-sent events. */
final class ServerEventDecoder {
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private String name = "";
    private StringBuilder data = new StringBuilder();

    List<ServerEvent> decode(List<ByteBuffer> chunks) {
        List<ServerEvent> events = new ArrayList<>();
        for (ByteBuffer chunk : chunks) {
            while (chunk.hasRemaining()) {
                take(chunk.get(), events);
            }
        }
        return events;
    }

    private void take(byte next, List<ServerEvent> events) {
        if (next != '\n') {
            line.write(next);
            return;
        }
        String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
        line.reset();
        if (text.isEmpty()) {
            emit(events);
        } else if (text.startsWith("event:")) {
            name = text.substring("event:".length()).strip();
        } else if (text.startsWith("data:")) {
            data.append(text.substring("data:".length()).strip());
        }
    }

    private void emit(List<ServerEvent> events) {
        if (data.length() > 0) {
            events.add(new ServerEvent(name, data.toString()));
        }
        name = "";
        data = new StringBuilder();
    }
}
