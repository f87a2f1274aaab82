package pepperdock.events;

import com.google.gson.JsonObject;
import java.util.function.Consumer;

/**
 * Writes what a gatherer does, for checkers that judge several gatherers together: one JSON object a line on standard output,
 * where the deploy file has {@code "events": true}; off otherwise, at the cost of a call. Unlike the log, which is for
 * operators, events have stable names and keys, and each is written where it happens, in order.
 *
 * <p>Called on the I/O thread only. Standard output is a pipe to the checker, and one that stops reading blocks the process, so
 * only test rigs should turn events on.
 */
public final class Events {

    private static final Events OFF = new Events(null);

    /** Null when events are off. */
    private final Consumer<JsonObject> sink;

    private Events(Consumer<JsonObject> sink) {
        this.sink = sink;
    }

    /** Events on standard output, or none. */
    public static Events of(boolean enabled) {
        return enabled ? new Events(System.out::println) : OFF;
    }

    /** Events that are passed to {@code sink}. */
    public static Events to(Consumer<JsonObject> sink) {
        return new Events(sink);
    }

    /** Whether events are written, for callers that would have to compute one. */
    public boolean isEnabled() {
        return sink != null;
    }

    /**
     * Writes one event, if events are on.
     *
     * @param what name of the event
     * @param keysAndValues keys and values by turns; a value is a number, a boolean, or anything else for its text
     */
    public void write(String what, Object... keysAndValues) {
        if (sink != null) {
            sink.accept(event(what, keysAndValues));
        }
    }

    /** The event of that name with these keys and values, without writing it. */
    public static JsonObject event(String what, Object... keysAndValues) {
        JsonObject event = new JsonObject();
        event.addProperty("what", what);
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
