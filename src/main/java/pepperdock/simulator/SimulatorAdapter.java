package pepperdock.simulator;

import com.google.gson.JsonParseException;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pepperdock.scheduler.Endpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.simulator.SimulatorProtocol.Command;

/**
 * Connects schedulers to a fleet simulator: delivers its events to the schedulers of the simulated gatherers, in
 * batches, and writes their decisions. Gatherers share nothing. Runs on the caller's thread until the input ends.
 */
public final class SimulatorAdapter {

    private static final int BUFFER_CHARS = 1 << 16;

    private final BufferedReader in;
    private final PrintStream err;
    private final SimulatorProtocol protocol;
    /** Endpoints by the number under which endpoint lists refer to them, as many gatherers receive the same list. */
    private final Map<Integer, List<Endpoint>> endpointsByNumber = new HashMap<>();

    private final Map<Integer, SimulatedGatherer> gatherers = new HashMap<>();
    /** Gatherers with an event in the current batch, in the order of their first event. */
    private final List<SimulatedGatherer> inBatch = new ArrayList<>();

    private double batchTime;
    private long batchNumber;
    private boolean batchOpen;

    /** Creates an adapter; errors in the input are reported to {@code err}. */
    public SimulatorAdapter(InputStream in, OutputStream out, PrintStream err) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_CHARS);
        this.err = err;
        protocol = new SimulatorProtocol(
                new BufferedWriter(new OutputStreamWriter(out, StandardCharsets.UTF_8), BUFFER_CHARS));
    }

    /** Serves until the input ends; returns the exit status: 0, or 1 after an invalid line. */
    public int run() {
        long lineNumber = 0;
        try {
            for (String text = in.readLine(); text != null; text = in.readLine()) {
                lineNumber++;
                if (!text.isBlank()) {
                    protocol.read(text);
                    handle();
                }
            }
            return 0;
        } catch (IOException | UncheckedIOException | IllegalArgumentException | JsonParseException e) {
            String message = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            err.println("drill: line " + lineNumber + ": " + message);
            return 1;
        }
    }

    /** Handles the current line of the protocol. */
    private void handle() throws IOException {
        String name = protocol.commandName();
        Command command = Command.ofOrNull(name);
        if (!batchOpen && command != Command.BEGIN_BATCH) {
            throw new IllegalArgumentException(name + " outside a batch");
        }
        if (command == null) {
            throw new IllegalArgumentException("unknown event " + name);
        }
        dispatch(command);
    }

    private void dispatch(Command command) throws IOException {
        switch (command) {
            case BEGIN_BATCH -> beginBatch();
            case END_BATCH -> endBatch();
            case ENDPOINTS -> endpointsByNumber.put(protocol.endpointsNumber(), protocol.endpoints());
            case START_GATHERER -> startGatherer();
            case STOP_GATHERER -> inBatch.remove(gatherers.remove(protocol.gatherer()));
            case ENDPOINT_LIST -> deliverEndpointList(gatherer());
            case ARRIVAL -> gatherer().deliver(protocol.arrival());
            case ATTEMPT_RESULT -> gatherer().deliver(protocol.attemptResult());
            case HEALTH_CHECK_RESULT -> gatherer().deliver(protocol.healthCheckResult());
            case QUERY_CANCELLED -> gatherer().deliver(protocol.queryCancelled());
            case TIMER -> gatherer().deliver(protocol.timer());
            // The scheduler needs nothing from them, but like any event they begin the batch of their gatherer.
            case HEAD_RECEIVED, MESSAGE -> gatherer();
        }
    }

    private void beginBatch() {
        if (batchOpen) {
            throw new IllegalArgumentException(protocol.commandName() + " inside a batch");
        }
        batchTime = protocol.batchTime();
        batchNumber = protocol.batchNumber();
        batchOpen = true;
    }

    private void endBatch() throws IOException {
        inBatch.forEach(SimulatedGatherer::endBatch);
        inBatch.clear();
        protocol.writeEndOfBatch(batchNumber);
        batchOpen = false;
    }

    /** Starts a gatherer; an earlier one of that number is removed with all its state. */
    private void startGatherer() {
        int number = protocol.gatherer();
        inBatch.remove(gatherers.remove(number));
        SimulatedGatherer gatherer = new SimulatedGatherer(protocol, number);
        long seed = protocol.seed();
        gatherer.start(protocol.settings(), seed);
        gatherers.put(number, gatherer);
        joinBatch(gatherer);
    }

    private void deliverEndpointList(SimulatedGatherer gatherer) {
        EndpointListKind kind = protocol.endpointListKind();
        List<Endpoint> endpoints =
                kind == EndpointListKind.FAILED ? List.of() : endpointsByNumber.get(protocol.endpointsNumber());
        if (endpoints == null) {
            throw SimulatorProtocol.unknownEndpoints();
        }
        gatherer.deliver(scheduler -> scheduler.onEndpointList(kind, endpoints));
    }

    /** Returns the gatherer that the current line is for, after beginning its batch if needed. */
    private SimulatedGatherer gatherer() {
        SimulatedGatherer gatherer = gatherers.get(protocol.gatherer());
        if (gatherer == null) {
            throw SimulatorProtocol.unknownGatherer();
        }
        joinBatch(gatherer);
        return gatherer;
    }

    private void joinBatch(SimulatedGatherer gatherer) {
        if (!gatherer.isInBatch()) {
            inBatch.add(gatherer);
            gatherer.beginBatch(batchTime);
        }
    }
}
