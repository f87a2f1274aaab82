package pepperdock.events;

import com.google.gson.JsonObject;
import java.util.function.Consumer;

/**
 * What a gatherer did, for whoever judges several of them together: one JSON object on a line of standard output, where its
 * file has {@code "events": true}. Off otherwise, at the cost of a call. Never a log: the log is for operators, events
 * have names and keys that a checker reads, and each is written where the thing has just happened, in its order.
 *
 * <p>Called on the loop only. Standard output is a pipe to the rig; a rig that stops reading stops the program, so nothing
 * but a rig should ask for events.
 */
public final class Events {

    private static final Events NONE = new Events(null);

    private final Consumer<JsonObject> to;

    private Events(Consumer<JsonObject> to) {
        this.to = to;
    }

    /** To standard output, or nowhere. */
    public static Events of(boolean on) {
        return on ? new Events(System.out::println) : NONE;
    }

    public static Events to(Consumer<JsonObject> to) {
        return new Events(to);
    }

    public boolean on() {
        return to != null;
    }

    /** Writes one event: its name, then keys and values by turns; a value is a text, a number, or a truth. */
    public void tell(String what, Object... keysAndValues) {
        if (to != null) {
            to.accept(event(what, keysAndValues));
        }
    }

    public static JsonObject event(String what, Object... keysAndValues) {
        JsonObject line = new JsonObject();
        line.addProperty("what", what);
        for (int i = 0; i < keysAndValues.length; i += 2) {
            String key = (String) keysAndValues[i];
            Object value = keysAndValues[i + 1];
            if (value instanceof Number n) {
                line.addProperty(key, n);
            } else if (value instanceof Boolean b) {
                line.addProperty(key, b);
            } else {
                line.addProperty(key, String.valueOf(value));
            }
        }
        return line;
    }
}
