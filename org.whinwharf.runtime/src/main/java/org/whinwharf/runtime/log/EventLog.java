package org.whinwharf.runtime.log;

import java.util.Collection;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Writes one event as one log line. */
public final class EventLog {
    /** Name of the logger to which events go. */
    public static final String LOGGER_NAME = "whinwharf.events";

    private static final Logger LOG = LogManager.getLogger(LOGGER_NAME);

    private final LogEvent event;
    private final EventMessage message;

    private EventLog(LogEvent event) {
        this.event = event;
        this.message = LOG.isEnabled(event.level()) ? new EventMessage(event) : null;
    }

    /**
     * Starts a line.
     *
     * @param event what happened
     * @return a line without fields
     */
    public static EventLog event(LogEvent event) {
        return new EventLog(event);
    }

    /**
     * Adds a text.
     *
     * @param field field that the event has; any other is left out
     * @param value no secret, prompt or answer
     * @return this line
     */
    public EventLog with(EventField field, String value) {
        return put(field, value);
    }

    /**
     * Adds a number.
     *
     * @param field field that the event has; any other is left out
     * @param value the number, in the unit that the field's name says
     * @return this line
     */
    public EventLog with(EventField field, Number value) {
        return put(field, value);
    }

    /**
     * Adds several texts.
     *
     * @param field field that the event has; any other is left out
     * @param values no secret, prompt or answer
     * @return this line
     */
    public EventLog with(EventField field, Collection<String> values) {
        return put(field, values);
    }

    /**
     * Adds named values.
     *
     * @param field field that the event has; any other is left out
     * @param values texts, numbers and truth values
     * @return this line
     */
    public EventLog with(EventField field, Map<String, Object> values) {
        return put(field, values);
    }

    /** Writes the line. */
    public void call() {
        if (message != null) {
            LOG.log(event.level(), message);
        }
    }

    private EventLog put(EventField field, Object value) {
        assert event.has(field) : event + " has no " + field;
        if (message != null && event.has(field)) {
            message.with(field.jsonName(), value);
        }
        return this;
    }
}
