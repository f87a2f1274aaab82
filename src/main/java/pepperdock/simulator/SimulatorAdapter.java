package pepperdock.simulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.JsonWriter;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import pepperdock.aggregator.Aggregator;
import pepperdock.config.Keys;
import pepperdock.config.Site;

/** Translates between JSON lines and {@link Aggregator}: one module per instance, nothing shared between them. */
public final class SimulatorAdapter {

    private static final Map<String, Aggregator.ListKind> LIST_KINDS = Map.of(
            "D",
            Aggregator.ListKind.CHANGES,
            "F",
            Aggregator.ListKind.COMPLETE,
            "C",
            Aggregator.ListKind.HELD,
            "X",
            Aggregator.ListKind.FAILED);
    private static final Map<String, Aggregator.Readiness> READINESS = Map.of(
            "healthy",
            Aggregator.Readiness.HEALTHY,
            "cordoned",
            Aggregator.Readiness.DRAINING,
            "deregistered",
            Aggregator.Readiness.REMOVED);

    private final BufferedReader in;
    private final PrintStream err;
    private final Writer out;
    private final Map<Integer, List<Aggregator.Listed>> pages = new HashMap<>();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<Instance> touched = new ArrayList<>();
    private final Line line = new Line();
    private double now;
    private long batch;
    private boolean open;

    public SimulatorAdapter(InputStream in, OutputStream out, PrintStream err) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.err = err;
        this.out = new BufferedWriter(new OutputStreamWriter(out, StandardCharsets.UTF_8), 1 << 16);
    }

    /** Serves until the input ends; returns the exit status. */
    public int run() {
        long number = 0;
        try {
            for (String text = in.readLine(); text != null; text = in.readLine()) {
                number++;
                if (!text.isBlank()) {
                    line.read(text);
                    handle();
                }
            }
            return 0;
        } catch (IOException | UncheckedIOException | IllegalArgumentException | JsonParseException e) {
            String what = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            err.println("drill: line " + number + ": " + what);
            return 1;
        }
    }

    private void handle() throws IOException {
        String cmd = line.text("cmd");
        if (!open && !cmd.equals("Tick")) {
            throw new IllegalArgumentException(cmd + " outside a batch");
        }
        switch (cmd) {
            case "Tick" -> {
                if (open) {
                    throw new IllegalArgumentException("Tick inside a batch");
                }
                now = line.number("ClockS");
                batch = line.integer("n");
                open = true;
            }
            case "Commit" -> commit();
            case "Page" -> pages.put((int) line.integer("Buffer"), entries(line.node("NodesList")));
            case "Attach" -> attach();
            case "Down" -> {
                Instance gone = instances.remove((int) line.integer("Mixer"));
                touched.remove(gone);
            }
            case "Targets" -> targets(instance());
            case "Order" -> order(instance());
            case "AttemptEnd" -> attemptEnd(instance());
            case "ProbeDone" -> {
                Instance to = instance();
                String searcher = line.text("Searcher");
                Aggregator.Outcome outcome = outcome();
                double spent = line.number("SpentS");
                to.tell(m -> m.probed(searcher, outcome, spent, line.row("Report")));
            }
            case "Aborted" -> {
                Instance to = instance();
                long id = line.integer("Tid");
                to.tell(m -> m.aborted(id));
            }
            case "Bell" -> {
                Instance to = instance();
                String token = line.text("Cookie");
                to.tell(m -> m.timer(token));
            }
            case "HeadReceived", "Message" -> instance();
            default -> throw new IllegalArgumentException("unknown event " + cmd);
        }
    }

    private void commit() throws IOException {
        for (Instance each : touched) {
            each.tell(Aggregator.Events::endBatch);
            each.touched = false;
        }
        touched.clear();
        JsonWriter json = new JsonWriter(out);
        json.beginObject().name("cmd").value("Eor").name("n").value(batch).endObject();
        out.write('\n');
        out.flush();
        open = false;
    }

    private void attach() throws IOException {
        int number = (int) line.integer("Mixer");
        touched.remove(instances.remove(number));
        Instance made = new Instance(number);
        long salt = line.integer("Salt");
        Aggregator.Settings settings =
                Site.read(Keys.of("Env", line.node("Env"))).module();
        made.create(settings, salt);
        instances.put(number, made);
        touch(made);
    }

    private void targets(Instance to) {
        Aggregator.ListKind kind = known(LIST_KINDS, line.text("How"), "How");
        List<Aggregator.Listed> entries = List.of();
        if (kind != Aggregator.ListKind.FAILED) {
            entries = pages.get((int) line.integer("Buffer"));
            if (entries == null) {
                throw new IllegalArgumentException("Targets names a Buffer never given");
            }
        }
        List<Aggregator.Listed> told = entries;
        to.tell(m -> m.targets(kind, told));
    }

    private void order(Instance to) {
        long id = line.integer("Tid");
        long no = line.integer("QueryNo");
        int shard = (int) line.integer("Shard");
        double share = line.number("ShareOrCount");
        if (shard >= 0) {
            to.tell(m -> m.part(id, no, shard, share));
            return;
        }
        int queryClass = (int) line.integer("Profile");
        double remaining = line.number("RemainingS");
        int tenant = line.has("UserGroup") ? (int) line.integer("UserGroup") : 0;
        String key = line.has("Key") ? line.text("Key") : "";
        to.tell(m -> m.query(id, queryClass, tenant, key, remaining, no, (int) share));
    }

    private void attemptEnd(Instance to) {
        long id = line.integer("Tid");
        int attempt = (int) line.integer("SeqNo");
        String searcher = line.text("Searcher");
        Aggregator.Outcome outcome = outcome();
        double spent = line.number("SpentS");
        to.tell(m -> m.attemptEnd(id, attempt, searcher, outcome, spent, line.row("Report")));
    }

    private Aggregator.Outcome outcome() {
        String code = line.text("Code");
        try {
            return Aggregator.Outcome.valueOf(code.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("unknown Code " + code, e);
        }
    }

    private Instance instance() {
        Instance found = instances.get((int) line.integer("Mixer"));
        if (found == null) {
            throw new IllegalArgumentException("event for a Mixer that is not attached");
        }
        touch(found);
        return found;
    }

    private void touch(Instance instance) {
        if (!instance.touched) {
            instance.touched = true;
            touched.add(instance);
            instance.tell(m -> m.batch(now));
        }
    }

    private static <T> T known(Map<String, T> names, String name, String field) {
        T value = names.get(name);
        if (value == null) {
            throw new IllegalArgumentException("unknown " + field + " " + name);
        }
        return value;
    }

    private static List<Aggregator.Listed> entries(JsonElement list) {
        if (!list.isJsonArray()) {
            throw new IllegalArgumentException("wrong type of NodesList");
        }
        List<Aggregator.Listed> entries = new ArrayList<>();
        for (JsonElement e : list.getAsJsonArray()) {
            Keys k = Keys.of("NodesList", e);
            entries.add(new Aggregator.Listed(
                    k.text("Searcher"),
                    (int) k.number("Campus", 0),
                    (int) k.number("ClassOfHost", 0),
                    (int) k.number("Place"),
                    known(READINESS, k.text("Readiness"), "Readiness"),
                    k.number("Weight", 1),
                    k.number("BootTimeS", 0)));
        }
        return List.copyOf(entries);
    }

    /** The fields of the line in hand, kept by name; reused from line to line. */
    private static final class Line {
        private final Map<String, Object> values = new HashMap<>();

        void read(String text) throws IOException {
            values.clear();
            JsonReader reader = new JsonReader(new StringReader(text));
            reader.setStrictness(Strictness.STRICT);
            if (reader.peek() != JsonToken.BEGIN_OBJECT) {
                throw new IllegalArgumentException("not a JSON object");
            }
            reader.beginObject();
            while (reader.hasNext()) {
                String name = reader.nextName();
                switch (reader.peek()) {
                    case STRING -> values.put(name, reader.nextString());
                    case NUMBER -> values.put(name, figure(reader.nextString()));
                    case BEGIN_OBJECT, BEGIN_ARRAY -> values.put(name, JsonParser.parseReader(reader));
                    default -> reader.skipValue();
                }
            }
            reader.endObject();
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new IllegalArgumentException("not one JSON object");
            }
        }

        private static Object figure(String text) {
            for (int i = 0; i < text.length(); i++) {
                if (".eE".indexOf(text.charAt(i)) >= 0) {
                    return Double.parseDouble(text);
                }
            }
            return Long.parseLong(text);
        }

        boolean has(String name) {
            return values.get(name) != null;
        }

        private <T> T value(String name, Class<T> type) {
            Object value = values.get(name);
            if (value == null) {
                throw new IllegalArgumentException("missing " + name);
            }
            if (!type.isInstance(value)) {
                throw new IllegalArgumentException("wrong type of " + name);
            }
            return type.cast(value);
        }

        String text(String name) {
            return value(name, String.class);
        }

        double number(String name) {
            return value(name, Number.class).doubleValue();
        }

        long integer(String name) {
            return value(name, Number.class).longValue();
        }

        JsonElement node(String name) {
            return value(name, JsonElement.class);
        }

        double[] row(String name) {
            if (!(values.get(name) instanceof JsonArray row)) {
                return null;
            }
            double[] figures = new double[row.size()];
            for (int i = 0; i < figures.length; i++) {
                figures[i] = row.get(i).getAsDouble();
            }
            return figures;
        }
    }

    /** One instance: its module, and its actions written to the wire. */
    private final class Instance implements Aggregator.Actions {
        private final int number;
        private Aggregator.Events module;
        private boolean touched;

        Instance(int number) {
            this.number = number;
        }

        void create(Aggregator.Settings settings, long salt) {
            module = Aggregator.create(settings, salt, this);
        }

        /** Hands an event on; a failure of the module ends in a {@code Broken} for this instance alone. */
        void tell(java.util.function.Consumer<Aggregator.Events> event) {
            try {
                event.accept(module);
            } catch (RuntimeException e) {
                if (e instanceof UncheckedIOException) {
                    throw e;
                }
                StackTraceElement[] at = e.getStackTrace();
                emit("Broken", json -> json.name("NoteText").value(e + (at.length > 0 ? " at " + at[0] : "")));
            }
        }

        @Override
        public void send(long part, String searcher, double until) {
            emit("Try", json -> {
                json.name("Tid").value(part);
                json.name("Searcher").value(searcher);
                json.name("UntilS").value(until);
            });
        }

        @Override
        public void cancel(long part, int attempt) {
            emit("UndoSend", json -> {
                json.name("Tid").value(part);
                json.name("SeqNo").value(attempt);
            });
        }

        @Override
        public void answer(long query, boolean whole) {
            emit("Conclude", json -> {
                json.name("Tid").value(query);
                json.name("Whole").value(whole);
            });
        }

        @Override
        public void refuse(long query, double pauseS) {
            emit("Shed", json -> {
                json.name("Tid").value(query);
                json.name("PauseS").value(pauseS);
            });
        }

        @Override
        public void fail(long query) {
            emit("EndFailed", json -> json.name("Tid").value(query));
        }

        @Override
        public void probe(String searcher) {
            emit("HealthCheck", json -> json.name("Searcher").value(searcher));
        }

        @Override
        public void dropConnections(String searcher) {
            emit("DropConns", json -> json.name("Searcher").value(searcher));
        }

        @Override
        public void setTimer(double afterS, String token) {
            emit("SetTimer", json -> {
                json.name("FromNowS").value(afterS);
                json.name("Cookie").value(token);
            });
        }

        @Override
        public void subscribe() {
            emit("KeepInformed", json -> json.name("Whole").value(true));
        }

        @Override
        public void log(String text) {
            emit("Print", json -> json.name("NoteText").value(text));
        }

        private void emit(String cmd, Fields fields) {
            try {
                JsonWriter json = new JsonWriter(out);
                json.beginObject().name("cmd").value(cmd).name("Mixer").value(number);
                fields.write(json);
                json.endObject();
                out.write('\n');
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }

    /** The fields of an action beside its name and instance. */
    private interface Fields {
        void write(JsonWriter json) throws IOException;
    }
}
