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
 * What happened, in one order and by one clock: each event is written and then shown to whoever listens, under one lock, so
 * that the file and the judgement see the same order. Events come from the threads that read the members' output and from
 * the rig's own. Its size is bounded: past that, the run ends with an error rather than with a history that lacks its end.
 */
final class History implements AutoCloseable {

    private static final long LINES_MOST = 5_000_000;

    private final long began = System.nanoTime();
    private final BufferedWriter out;
    private final Consumer<Event> listener;
    private long lines;

    History(Path file, Consumer<Event> listener) throws IOException {
        out = Files.newBufferedWriter(file);
        this.listener = listener;
    }

    double now() {
        return (System.nanoTime() - began) / 1e9;
    }

    /** A line of a member's output; what is not an event is passed over and said so. */
    void line(String who, String line) {
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

    /** An event of the rig's own. */
    void rig(String what, Object... keysAndValues) {
        add(Event.RIG, Events.event(what, keysAndValues));
    }

    private synchronized void add(String who, JsonObject event) {
        JsonObject whole = new JsonObject();
        whole.addProperty("at", Math.round(now() * 1e6) / 1e6);
        whole.addProperty("who", who);
        event.entrySet().forEach(e -> whole.add(e.getKey(), e.getValue()));
        if (++lines > LINES_MOST) {
            throw new IllegalStateException("more than " + LINES_MOST + " events");
        }
        try {
            out.write(whole.toString());
            out.newLine();
            if (who.equals(Event.RIG)) {
                // Not lost if the rig is killed, and cheap: the rig's own events are few.
                out.flush();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        listener.accept(Event.read(whole.toString()));
    }

    /** Runs what reads the listeners' state, with no event coming between. */
    synchronized <T> T still(java.util.function.Supplier<T> reads) {
        return reads.get();
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
