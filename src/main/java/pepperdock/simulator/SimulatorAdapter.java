package pepperdock.simulator;

import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.stream.JsonWriter;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import pepperdock.config.ConfigReader;
import pepperdock.config.DeploymentSettingsReader;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.AttemptResult;
import pepperdock.scheduler.Endpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.HealthCheckResult;
import pepperdock.scheduler.LoadReport;
import pepperdock.scheduler.PartArrival;
import pepperdock.scheduler.QueryArrival;
import pepperdock.scheduler.Scheduler;
import pepperdock.scheduler.SchedulerSettings;

/** Translates between JSON lines and {@link Scheduler}: one module per instance, nothing shared between them. */
public final class SimulatorAdapter {

    private static final Map<String, EndpointListKind> LIST_KINDS = Map.of(
            "D",
            EndpointListKind.CHANGES,
            "F",
            EndpointListKind.COMPLETE,
            "C",
            EndpointListKind.CACHED,
            "X",
            EndpointListKind.FAILED);
    private static final Map<String, AttemptOutcome> OUTCOMES = Map.of(
            "OK",
            AttemptOutcome.OK,
            "ERROR",
            AttemptOutcome.ERROR,
            "FULL",
            AttemptOutcome.OVERLOADED,
            "TIMEOUT",
            AttemptOutcome.TIMEOUT,
            "CONNECT_FAILED",
            AttemptOutcome.CONNECT_FAILED,
            "RESET",
            AttemptOutcome.RESET,
            "CANCELLED",
            AttemptOutcome.CANCELLED,
            "MOOT",
            AttemptOutcome.NOT_SENT);
    private static final Map<String, EndpointState> READINESS = Map.of(
            "healthy",
            EndpointState.HEALTHY,
            "cordoned",
            EndpointState.DRAINING,
            "deregistered",
            EndpointState.REMOVED);

    private final BufferedReader in;
    private final PrintStream err;
    private final Writer out;
    private final Map<Integer, List<Endpoint>> pages = new HashMap<>();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<Instance> touched = new ArrayList<>();
    private final WireLine line = new WireLine();
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
                AttemptOutcome outcome = outcome();
                double spent = line.number("SpentS");
                to.tell(m -> m.onHealthCheckResult(
                        new HealthCheckResult(searcher, outcome, spent, LoadReport.of(line.row("Report")))));
            }
            case "Aborted" -> {
                Instance to = instance();
                long id = line.integer("Tid");
                to.tell(m -> m.onQueryCancelled(id));
            }
            case "Bell" -> {
                Instance to = instance();
                String token = line.text("Cookie");
                to.tell(m -> m.onTimer(token));
            }
            case "HeadReceived", "Message" -> instance();
            default -> throw new IllegalArgumentException("unknown event " + cmd);
        }
    }

    private void commit() throws IOException {
        for (Instance each : touched) {
            each.tell(Scheduler::endBatch);
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
        Instance made = new Instance(out, number);
        long salt = line.integer("Salt");
        SchedulerSettings settings = DeploymentSettingsReader.read(ConfigReader.of("Env", line.node("Env")))
                .module();
        made.create(settings, salt);
        instances.put(number, made);
        touch(made);
    }

    private void targets(Instance to) {
        EndpointListKind kind = known(LIST_KINDS, line.text("How"), "How");
        List<Endpoint> entries = List.of();
        if (kind != EndpointListKind.FAILED) {
            entries = pages.get((int) line.integer("Buffer"));
            if (entries == null) {
                throw new IllegalArgumentException("Targets names a Buffer never given");
            }
        }
        List<Endpoint> told = entries;
        to.tell(m -> m.onEndpointList(kind, told));
    }

    private void order(Instance to) {
        long id = line.integer("Tid");
        long no = line.integer("QueryNo");
        int shard = (int) line.integer("Shard");
        double share = line.number("ShareOrCount");
        if (shard >= 0) {
            to.tell(m -> m.onPart(new PartArrival(id, no, shard, share)));
            return;
        }
        int queryClass = (int) line.integer("Profile");
        double remaining = line.number("RemainingS");
        int tenant = line.has("UserGroup") ? (int) line.integer("UserGroup") : 0;
        String key = line.has("Key") ? line.text("Key") : "";
        to.tell(m -> m.onQuery(new QueryArrival(id, queryClass, tenant, key, remaining, no, (int) share)));
    }

    private void attemptEnd(Instance to) {
        long id = line.integer("Tid");
        int attempt = (int) line.integer("SeqNo");
        String searcher = line.text("Searcher");
        AttemptOutcome outcome = outcome();
        double spent = line.number("SpentS");
        to.tell(m -> m.onAttemptResult(
                new AttemptResult(id, attempt, searcher, outcome, spent, LoadReport.of(line.row("Report")))));
    }

    private AttemptOutcome outcome() {
        return known(OUTCOMES, line.text("Code").toUpperCase(Locale.ROOT), "Code");
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
            instance.tell(m -> m.beginBatch(now));
        }
    }

    private static <T> T known(Map<String, T> names, String name, String field) {
        T value = names.get(name);
        if (value == null) {
            throw new IllegalArgumentException("unknown " + field + " " + name);
        }
        return value;
    }

    private static List<Endpoint> entries(JsonElement list) {
        if (!list.isJsonArray()) {
            throw new IllegalArgumentException("wrong type of NodesList");
        }
        List<Endpoint> entries = new ArrayList<>();
        for (JsonElement e : list.getAsJsonArray()) {
            ConfigReader k = ConfigReader.of("NodesList", e);
            entries.add(new Endpoint(
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
}
