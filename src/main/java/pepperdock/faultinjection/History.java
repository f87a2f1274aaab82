package pepperdock.faultinjection;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pepperdock.events.Events;

/**
 * The events of a run, in one order and by one clock. Each event is written to the file and then passed to the listener
 * under one lock, so that the file and the checkers see the same order. Events come from the threads that read the
 * output of the members, and from the rig itself. The size is bounded: beyond it, the run ends with an error rather
 * than with an incomplete history.
 */
final class History implements AutoCloseable {

    private static final long MAX_EVENTS = 5_000_000;

    private final long startNs = System.nanoTime();
    private final BufferedWriter out;
    private final Consumer<Event> listener;
    private long lines;

    History(Path file, Consumer<Event> listener) throws IOException {
        out = Files.newBufferedWriter(file);
        this.listener = listener;
    }

    double now() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    /** Adds a line of a member's output; a line that is not an event is recorded as {@code unreadable}. */
    void addMemberOutput(String who, String line) {
        JsonObject event;
        try {
            event = JsonParser.parseString(line).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            event = new JsonObject();
        }
        if (!(event.get("what") instanceof JsonPrimitive)) {
            event = new JsonObject();
            event.addProperty("what", "unreadable");
            event.addProperty("line", line.substring(0, Math.min(200, line.length())));
        }
        add(who, event);
    }

    /** Adds an event of the rig itself. */
    void addRigEvent(String what, Object... keysAndValues) {
        add(Event.RIG, Events.event(what, keysAndValues));
    }

    private synchronized void add(String who, JsonObject event) {
        JsonObject withHeader = new JsonObject();
        withHeader.addProperty("at", Math.round(now() * 1e6) / 1e6);
        withHeader.addProperty("who", who);
        event.entrySet().forEach(e -> withHeader.add(e.getKey(), e.getValue()));
        if (++lines > MAX_EVENTS) {
            throw new IllegalStateException("more than " + MAX_EVENTS + " events in the history");
        }
        try {
            out.write(withHeader.toString());
            out.newLine();
            if (who.equals(Event.RIG)) {
                // Kept if the rig is killed; this is cheap since the rig's own events are few.
                out.flush();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        listener.accept(Event.read(withHeader.toString()));
    }

    /** Reads the listener's state without any event being added meanwhile. */
    synchronized <T> T runExclusively(java.util.function.Supplier<T> reader) {
        return reader.get();
    }

    @Override
    public synchronized void close() throws IOException {
        out.close();
    }

    static List<Event> read(Path file) throws IOException {
        List<Event> all = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            all.add(Event.read(line));
        }
        return all;
    }
}
