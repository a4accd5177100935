package org.whinwharf.pgm.internal.call;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Takes server-sent events out of the parts of a body, wherever the parts are cut. */
final class EventParser {
    private static final String EVENT = "event:";
    private static final String DATA = "data:";

    private final Consumer<StreamEvent> events;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String name = "";

    EventParser(Consumer<StreamEvent> events) {
        this.events = events;
    }

    /** Takes the next part of the body. */
    void feed(byte[] part) {
        for (byte each : part) {
            if (each == '\n') {
                endLine(line.toString(StandardCharsets.UTF_8).stripTrailing());
                line.reset();
            } else {
                line.write(each);
            }
        }
    }

    private void endLine(String text) {
        if (text.isEmpty()) {
            endEvent();
        } else if (text.startsWith(EVENT)) {
            name = text.substring(EVENT.length()).strip();
        } else if (text.startsWith(DATA)) {
            data.append(text.substring(DATA.length()).strip());
        }
    }

    private void endEvent() {
        if (data.length() > 0) {
            events.accept(new StreamEvent(name, data.toString()));
        }
        name = "";
        data.setLength(0);
    }

    /**
     * One event of a stream.
     *
     * @param name name of the event
     * @param data its data, JSON
     */
    record StreamEvent(String name, String data) {}
}
