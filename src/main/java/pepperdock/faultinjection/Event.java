package pepperdock.faultinjection;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;

/**
 * One line of a history: seconds since the rig began, by the rig's clock; who (a member, or {@code rig}); what; and the keys
 * of that event.
 */
record Event(double at, String who, String what, JsonObject keys) {

    static final String RIG = "rig";

    static Event read(String line) {
        try {
            JsonObject o = JsonParser.parseString(line).getAsJsonObject();
            return new Event(
                    o.get("at").getAsDouble(),
                    o.get("who").getAsString(),
                    o.get("what").getAsString(),
                    o);
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

    long whole(String key) {
        return keys.has(key) ? keys.get(key).getAsLong() : -1;
    }

    boolean ofRig() {
        return who.equals(RIG);
    }

    /** What the rig did to processes: their names, by commas in {@code members}. */
    String[] members() {
        return text("members").split(",");
    }

    @Override
    public String toString() {
        return keys.toString();
    }
}
