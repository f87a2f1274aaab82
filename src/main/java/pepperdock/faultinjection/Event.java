package pepperdock.faultinjection;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;

/**
 * One line of a history: seconds since the rig started, by the clock of the rig; its source (a member, or {@code rig});
 * the kind of event; and all keys of the event.
 */
record Event(double at, String who, String what, JsonObject keys) {

    static final String RIG = "rig";

    static Event read(String line) {
        try {
            JsonObject keys = JsonParser.parseString(line).getAsJsonObject();
            return new Event(
                    keys.get("at").getAsDouble(),
                    keys.get("who").getAsString(),
                    keys.get("what").getAsString(),
                    keys);
        } catch (JsonParseException | IllegalStateException | NullPointerException | NumberFormatException e) {
            throw new IllegalArgumentException("not an event: " + line, e);
        }
    }

    String text(String key) {
        return keys.has(key) ? keys.get(key).getAsString() : "";
    }

    double number(String key) {
        return keys.has(key) ? keys.get(key).getAsDouble() : Double.NaN;
    }

    long integer(String key) {
        return keys.has(key) ? keys.get(key).getAsLong() : -1;
    }

    boolean isRigEvent() {
        return who.equals(RIG);
    }

    /** Returns the processes that the rig acted on: the names in {@code members}, separated by commas. */
    String[] members() {
        return text("members").split(",");
    }

    @Override
    public String toString() {
        return keys.toString();
    }
}
