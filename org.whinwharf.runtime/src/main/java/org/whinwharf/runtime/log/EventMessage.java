package org.whinwharf.runtime.log;

import org.apache.logging.log4j.message.MapMessage;

/** Log message of one event: the formatted text is the description of the event, the map holds its fields. */
final class EventMessage extends MapMessage<EventMessage, Object> {
    private static final long serialVersionUID = 1L;
    private static final String EVENT = "event";

    private final LogEvent event;

    EventMessage(LogEvent event) {
        this.event = event;
        with(EVENT, event.wireName());
    }

    @Override
    public String getFormattedMessage() {
        return event.text();
    }

    @Override
    public void formatTo(StringBuilder buffer) {
        buffer.append(event.text());
    }
}
