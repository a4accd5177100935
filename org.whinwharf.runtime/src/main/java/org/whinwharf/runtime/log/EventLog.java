package org.whinwharf.runtime.log;

import java.util.Collection;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.Marker;
import org.apache.logging.log4j.MarkerManager;

/** Builder of one log line, which describes one event. */
public final class EventLog {
    /** Name of the logger that receives the events. */
    public static final String LOGGER_NAME = "whinwharf.events";

    /**
     * Marker of lines that are to be written soon, as the process may be killed, and before others if some are dropped.
     */
    public static final Marker PROMPT = MarkerManager.getMarker("PROMPT");

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
     * @param event event to log
     * @return a line without fields
     */
    public static EventLog event(LogEvent event) {
        return new EventLog(event);
    }

    /**
     * Adds a string.
     *
     * @param field a field of the event; any other field is omitted from the line
     * @param value value without secrets, prompts or answers
     * @return this line
     */
    public EventLog with(EventField field, String value) {
        return put(field, value);
    }

    /**
     * Adds a number.
     *
     * @param field a field of the event; any other field is omitted from the line
     * @param value value in the unit of the field
     * @return this line
     */
    public EventLog with(EventField field, Number value) {
        return put(field, value);
    }

    /**
     * Adds a truth value.
     *
     * @param field a field of the event; any other field is omitted from the line
     * @param value value of the field
     * @return this line
     */
    public EventLog with(EventField field, boolean value) {
        return put(field, value);
    }

    /**
     * Adds a list of strings.
     *
     * @param field a field of the event; any other field is omitted from the line
     * @param values values without secrets, prompts or answers
     * @return this line
     */
    public EventLog with(EventField field, Collection<String> values) {
        return put(field, values);
    }

    /**
     * Adds a map of values.
     *
     * @param field a field of the event; any other field is omitted from the line
     * @param values strings, numbers and booleans by name
     * @return this line
     */
    public EventLog with(EventField field, Map<String, Object> values) {
        return put(field, values);
    }

    /** Writes the line, unless the level of the event is disabled. */
    public void call() {
        if (message != null) {
            LOG.log(event.level(), event.prompt() ? PROMPT : null, message);
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
