package pepperdock.events;

import com.google.gson.JsonObject;
import java.util.function.Consumer;

/**
 * Writes the events of a gatherer for checkers that evaluate several gatherers together: one JSON object per line on
 * standard output. Enabled by {@code "events": true} in the configuration file; otherwise the only cost is a method
 * call. Unlike the log, which is for operators, events have stable names and keys, and each is written where it
 * happens, in order.
 *
 * <p>Called on the I/O thread only. Standard output is a pipe to the checker, and a checker that stops reading blocks
 * the process, so only test rigs should enable events.
 */
public final class Events {

    private static final Events OFF = new Events(null);

    /** Receives the events; null if events are disabled. */
    private final Consumer<JsonObject> sink;

    private Events(Consumer<JsonObject> sink) {
        this.sink = sink;
    }

    /** Returns an instance that writes events to standard output, or one that discards them. */
    public static Events of(boolean enabled) {
        return enabled ? new Events(System.out::println) : OFF;
    }

    /** Returns an instance that passes events to {@code sink}. */
    public static Events to(Consumer<JsonObject> sink) {
        return new Events(sink);
    }

    /** Returns whether events are written; lets callers skip the computation of an event. */
    public boolean isEnabled() {
        return sink != null;
    }

    /**
     * Writes one event if events are enabled.
     *
     * @param name name of the event
     * @param keysAndValues alternating keys and values; a value that is neither a number nor a boolean is written as
     *     its text
     */
    public void write(String name, Object... keysAndValues) {
        if (sink != null) {
            sink.accept(event(name, keysAndValues));
        }
    }

    /** Returns the event with this name and these keys and values, without writing it. */
    public static JsonObject event(String name, Object... keysAndValues) {
        JsonObject event = new JsonObject();
        event.addProperty("what", name);
        for (int i = 0; i < keysAndValues.length; i += 2) {
            String key = (String) keysAndValues[i];
            Object value = keysAndValues[i + 1];
            if (value instanceof Number number) {
                event.addProperty(key, number);
            } else if (value instanceof Boolean flag) {
                event.addProperty(key, flag);
            } else {
                event.addProperty(key, String.valueOf(value));
            }
        }
        return event;
    }
}
