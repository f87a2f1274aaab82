package pepperdock.simulator;

import com.google.gson.JsonElement;
import com.google.gson.stream.JsonWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
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

/**
 * Codec of the simulator's wire: decodes the current line into events of the scheduler, and encodes its decisions. The
 * only class that knows the names of commands, fields and values on that wire.
 *
 * <p>Use: {@link #read} a line, look at its {@link #commandName} and {@link Command}, then call the decoder of that
 * command. Decoders throw {@link IllegalArgumentException} for a missing, mistyped or unknown field. Encoders throw
 * {@link UncheckedIOException}, and write to a buffer that {@link #writeEndOfBatch} flushes. Not thread-safe.
 */
final class SimulatorProtocol {

    /** The kind of a line. */
    enum Command {
        BEGIN_BATCH("Tick"),
        END_BATCH("Commit"),
        /** Defines endpoints under a number, by which endpoint lists refer to them. */
        ENDPOINTS("Page"),
        START_GATHERER("Attach"),
        STOP_GATHERER("Down"),
        ENDPOINT_LIST("Targets"),
        ARRIVAL("Order"),
        ATTEMPT_RESULT("AttemptEnd"),
        HEALTH_CHECK_RESULT("ProbeDone"),
        QUERY_CANCELLED("Aborted"),
        TIMER("Bell"),
        HEAD_RECEIVED("HeadReceived"),
        MESSAGE("Message");

        private static final Map<String, Command> BY_NAME = byName();

        private final String wireName;

        Command(String wireName) {
            this.wireName = wireName;
        }

        private static Map<String, Command> byName() {
            Map<String, Command> commands = new HashMap<>();
            for (Command command : values()) {
                commands.put(command.wireName, command);
            }
            return commands;
        }

        /** Returns the command of that name; null if there is none. */
        static Command ofOrNull(String wireName) {
            return BY_NAME.get(wireName);
        }
    }

    private static final Map<String, EndpointListKind> LIST_KINDS = Map.of(
            "D", EndpointListKind.CHANGES,
            "F", EndpointListKind.COMPLETE,
            "C", EndpointListKind.CACHED,
            "X", EndpointListKind.FAILED);
    private static final Map<String, AttemptOutcome> OUTCOMES = Map.of(
            "OK", AttemptOutcome.OK,
            "ERROR", AttemptOutcome.ERROR,
            "FULL", AttemptOutcome.OVERLOADED,
            "TIMEOUT", AttemptOutcome.TIMEOUT,
            "CONNECT_FAILED", AttemptOutcome.CONNECT_FAILED,
            "RESET", AttemptOutcome.RESET,
            "CANCELLED", AttemptOutcome.CANCELLED,
            "MOOT", AttemptOutcome.NOT_SENT);
    private static final Map<String, EndpointState> ENDPOINT_STATES = Map.of(
            "healthy", EndpointState.HEALTHY,
            "cordoned", EndpointState.DRAINING,
            "deregistered", EndpointState.REMOVED);

    private static final String COMMAND = "cmd";
    private static final String BATCH_NUMBER = "n";
    private static final String GATHERER = "Mixer";
    private static final String ENDPOINT = "Searcher";
    /** The id of a query or of a part. */
    private static final String ID = "Tid";

    private static final String ATTEMPT = "SeqNo";
    private static final String ENDPOINTS_NUMBER = "Buffer";
    private static final String ENDPOINTS = "NodesList";
    private static final String SETTINGS = "Env";
    private static final String COMPLETE = "Whole";
    private static final String TIMER_TOKEN = "Cookie";
    private static final String ELAPSED_S = "SpentS";
    private static final String REPORT = "Report";
    private static final String TEXT = "NoteText";

    private final JsonLine line = new JsonLine();
    private final Writer out;

    SimulatorProtocol(Writer out) {
        this.out = out;
    }

    /** Makes {@code text} the current line. */
    void read(String text) throws IOException {
        line.read(text);
    }

    /** Returns the name of the current line's command, known or not. */
    String commandName() {
        return line.text(COMMAND);
    }

    /** Returns the time of the batch that begins, in seconds. */
    double batchTime() {
        return line.number("ClockS");
    }

    /** Returns the number of the batch that begins. */
    long batchNumber() {
        return line.integer(BATCH_NUMBER);
    }

    /** Returns the number of the gatherer that the event is for. */
    int gatherer() {
        return (int) line.integer(GATHERER);
    }

    /** Returns the error for an event of a gatherer that was not started. */
    static IllegalArgumentException unknownGatherer() {
        return new IllegalArgumentException("event for a " + GATHERER + " that is not attached");
    }

    /** Returns the number under which the line defines endpoints or refers to them. */
    int endpointsNumber() {
        return (int) line.integer(ENDPOINTS_NUMBER);
    }

    /** Returns the error for an endpoint list that refers to endpoints that no line has defined. */
    static IllegalArgumentException unknownEndpoints() {
        return new IllegalArgumentException(
                "Targets refers to a " + ENDPOINTS_NUMBER + " that no earlier line defined");
    }

    /** Returns the endpoints that the line defines. */
    List<Endpoint> endpoints() {
        JsonElement array = line.element(ENDPOINTS);
        if (!array.isJsonArray()) {
            throw new IllegalArgumentException("wrong type of field " + ENDPOINTS);
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (JsonElement element : array.getAsJsonArray()) {
            endpoints.add(endpoint(ConfigReader.of(ENDPOINTS, element)));
        }
        return List.copyOf(endpoints);
    }

    private static Endpoint endpoint(ConfigReader keys) {
        return new Endpoint(
                keys.text(ENDPOINT),
                (int) keys.number("Campus", 0),
                (int) keys.number("ClassOfHost", 0),
                (int) keys.number("Place"),
                known(ENDPOINT_STATES, keys.text("Readiness"), "Readiness"),
                keys.number("Weight", 1),
                keys.number("BootTimeS", 0));
    }

    /** Returns the kind of the endpoint list. */
    EndpointListKind endpointListKind() {
        return known(LIST_KINDS, line.text("How"), "How");
    }

    /** Returns the seed of a gatherer that starts. */
    long seed() {
        return line.integer("Salt");
    }

    /** Returns the settings of a gatherer that starts. */
    SchedulerSettings settings() {
        return DeploymentSettingsReader.read(ConfigReader.of(SETTINGS, line.element(SETTINGS)))
                .scheduler();
    }

    /** Returns the arrival of a part if the line names a shard, and of a query otherwise. */
    Consumer<Scheduler> arrival() {
        long id = line.integer(ID);
        long sequenceNumber = line.integer("QueryNo");
        int shard = (int) line.integer("Shard");
        double weightOrPartCount = line.number("ShareOrCount");
        if (shard >= 0) {
            return scheduler -> scheduler.onPart(new PartArrival(id, sequenceNumber, shard, weightOrPartCount));
        }
        int queryClass = (int) line.integer("Profile");
        double remainingS = line.number("RemainingS");
        int tenant = line.has("UserGroup") ? (int) line.integer("UserGroup") : 0;
        String idempotencyKey = line.has("Key") ? line.text("Key") : "";
        return scheduler -> scheduler.onQuery(new QueryArrival(
                id, queryClass, tenant, idempotencyKey, remainingS, sequenceNumber, (int) weightOrPartCount));
    }

    /** Returns the outcome of an attempt. */
    Consumer<Scheduler> attemptResult() {
        long partId = line.integer(ID);
        int attempt = (int) line.integer(ATTEMPT);
        String endpoint = line.text(ENDPOINT);
        AttemptOutcome outcome = outcome();
        double elapsedS = line.number(ELAPSED_S);
        return scheduler -> scheduler.onAttemptResult(
                new AttemptResult(partId, attempt, endpoint, outcome, elapsedS, loadReport()));
    }

    /** Returns the outcome of a health check. */
    Consumer<Scheduler> healthCheckResult() {
        String endpoint = line.text(ENDPOINT);
        AttemptOutcome outcome = outcome();
        double elapsedS = line.number(ELAPSED_S);
        return scheduler ->
                scheduler.onHealthCheckResult(new HealthCheckResult(endpoint, outcome, elapsedS, loadReport()));
    }

    /** Returns the cancellation of a query whose client has disconnected. */
    Consumer<Scheduler> queryCancelled() {
        long queryId = line.integer(ID);
        return scheduler -> scheduler.onQueryCancelled(queryId);
    }

    /** Returns the expiry of a timer. */
    Consumer<Scheduler> timer() {
        String token = line.text(TIMER_TOKEN);
        return scheduler -> scheduler.onTimer(token);
    }

    private AttemptOutcome outcome() {
        return known(OUTCOMES, line.text("Code").toUpperCase(Locale.ROOT), "Code");
    }

    /**
     * Decodes the load report. Called while the event is delivered, so that an error in it affects that gatherer only.
     */
    private LoadReport loadReport() {
        return LoadReport.of(line.numbersOrNull(REPORT));
    }

    private static <T> T known(Map<String, T> names, String name, String field) {
        T value = names.get(name);
        if (value == null) {
            throw new IllegalArgumentException("unknown value of field " + field + ": " + name);
        }
        return value;
    }

    /** Starts an attempt, which is abandoned at the time {@code until}, in seconds. */
    void writeSendAttempt(int gatherer, long partId, String endpoint, double until) {
        write("Try", gatherer, json -> {
            json.name(ID).value(partId);
            json.name(ENDPOINT).value(endpoint);
            json.name("UntilS").value(until);
        });
    }

    void writeCancelAttempt(int gatherer, long partId, int attempt) {
        write("UndoSend", gatherer, json -> {
            json.name(ID).value(partId);
            json.name(ATTEMPT).value(attempt);
        });
    }

    void writeAnswerQuery(int gatherer, long queryId, boolean complete) {
        write("Conclude", gatherer, json -> {
            json.name(ID).value(queryId);
            json.name(COMPLETE).value(complete);
        });
    }

    void writeRejectQuery(int gatherer, long queryId, double retryAfterS) {
        write("Shed", gatherer, json -> {
            json.name(ID).value(queryId);
            json.name("PauseS").value(retryAfterS);
        });
    }

    void writeFailQuery(int gatherer, long queryId) {
        write("EndFailed", gatherer, json -> json.name(ID).value(queryId));
    }

    void writeCheckHealth(int gatherer, String endpoint) {
        write("HealthCheck", gatherer, json -> json.name(ENDPOINT).value(endpoint));
    }

    void writeCloseIdleConnections(int gatherer, String endpoint) {
        write("DropConns", gatherer, json -> json.name(ENDPOINT).value(endpoint));
    }

    void writeSetTimer(int gatherer, double afterS, String token) {
        write("SetTimer", gatherer, json -> {
            json.name("FromNowS").value(afterS);
            json.name(TIMER_TOKEN).value(token);
        });
    }

    /** Asks for a complete list, and for its changes after that. */
    void writeWatchEndpointList(int gatherer) {
        write("KeepInformed", gatherer, json -> json.name(COMPLETE).value(true));
    }

    void writeLog(int gatherer, String text) {
        write("Print", gatherer, json -> json.name(TEXT).value(text));
    }

    /** Reports that the scheduler of a gatherer has thrown. */
    void writeFault(int gatherer, String text) {
        write("Broken", gatherer, json -> json.name(TEXT).value(text));
    }

    /** Ends the decisions of a batch, and flushes. */
    void writeEndOfBatch(long batchNumber) throws IOException {
        JsonWriter json = new JsonWriter(out);
        json.beginObject()
                .name(COMMAND)
                .value("Eor")
                .name(BATCH_NUMBER)
                .value(batchNumber)
                .endObject();
        out.write('\n');
        out.flush();
    }

    private void write(String command, int gatherer, Fields fields) {
        try {
            JsonWriter json = new JsonWriter(out);
            json.beginObject().name(COMMAND).value(command).name(GATHERER).value(gatherer);
            fields.write(json);
            json.endObject();
            out.write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes the fields of a decision, after its name and gatherer. */
    private interface Fields {
        void write(JsonWriter json) throws IOException;
    }
}
