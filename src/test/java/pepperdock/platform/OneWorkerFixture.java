package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import pepperdock.codec.frame.FrameEncoder;
import pepperdock.config.DeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.core.Query;
import pepperdock.core.QueryListener;
import pepperdock.core.QueryRequest;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.transport.EventLoop;

/** A gatherer whose queries go to one worker, {@code w}; the test acts as the worker on plain sockets. */
final class OneWorkerFixture implements AutoCloseable {

    /** Indices of query classes in the settings for tests. */
    static final int IDEMPOTENT_CLASS = 0;

    static final int KEYED_CLASS = 2;

    /** Far longer than any step of these tests takes; a test that reaches this timeout fails. */
    private static final int TIMEOUT_MS = 30_000;

    final EventLoop loop;
    final FrameBackend backend;
    final Gatherer gatherer;
    final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

    OneWorkerFixture(DeploymentSettings settings, int maxBufferBytes) throws IOException {
        server.setSoTimeout(TIMEOUT_MS);
        loop = new EventLoop(100, maxBufferBytes);
        backend = new FrameBackend(loop, settings);
        gatherer = new Gatherer(settings.scheduler(), 3, loop, backend, () -> {});
        backend.start(gatherer);
    }

    WorkerEndpoint endpoint(EndpointState state) {
        return new WorkerEndpoint("w", "127.0.0.1:" + server.getLocalPort(), 0, 0, 0, state, 1, 0);
    }

    /** Sends the gatherer a complete list with the worker as healthy. */
    void listWorker() {
        loop.execute(
                () -> gatherer.onEndpointList(EndpointListKind.COMPLETE, List.of(endpoint(EndpointState.HEALTHY))));
    }

    /** Returns a query for one part that only this worker holds. */
    static QueryRequest request(String id, int queryClass, double timeoutS, byte[] text) {
        String key = queryClass == KEYED_CLASS ? "k" : "";
        return new QueryRequest(
                id, queryClass, key, timeoutS, List.of(new QueryRequest.RequestedPart(0, 1)), text, null);
    }

    /** Returns a query with a short text and a timeout far longer than a test takes. */
    static QueryRequest request(String id, int queryClass) {
        return request(id, queryClass, TIMEOUT_MS / 1e3, new byte[] {'t'});
    }

    Query submit(QueryRequest request) throws InterruptedException {
        return onLoop(() -> gatherer.submit(request, new OutcomeRecorder()));
    }

    /** Returns a listener that records final answers for {@link #awaitOutcome}. */
    QueryListener recorder() {
        return new OutcomeRecorder();
    }

    /** Lists the worker and submits a query with the id {@code q} in one turn of the loop. */
    void listWorkerAndSubmit() {
        listWorkerAndSubmit(() -> {});
    }

    /**
     * Like {@link #listWorkerAndSubmit()}; {@code next} runs right after the batch that sends the call, before the loop
     * can notice that the connection is established.
     */
    void listWorkerAndSubmit(Runnable next) {
        loop.execute(() -> {
            gatherer.onEndpointList(EndpointListKind.COMPLETE, List.of(endpoint(EndpointState.HEALTHY)));
            gatherer.submit(request("q", KEYED_CLASS), new OutcomeRecorder());
            loop.execute(next);
        });
    }

    /** Awaits the next final answer; returns its kind and the outcome of the last attempt at the query's part. */
    String awaitOutcome() throws InterruptedException {
        String outcome = outcomes.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertTrue(outcome != null, "no final answer in time");
        return outcome;
    }

    /** Awaits the end of the first attempt at a query's part and returns its outcome. */
    AttemptOutcome awaitAttemptOutcome(Query query) throws InterruptedException {
        AttemptOutcome outcome = null;
        while (outcome == null) {
            outcome = onLoop(query.parts().get(0)::lastOutcome);
        }
        return outcome;
    }

    <T> T onLoop(Supplier<T> task) throws InterruptedException {
        return PlatformFixtures.onLoop(loop, task);
    }

    /** Reads a frame and returns its type and payload, without its length. */
    static byte[] readFrame(Socket connection) throws IOException {
        DataInputStream in = new DataInputStream(connection.getInputStream());
        return in.readNBytes(in.readInt());
    }

    /** Returns the type and the id at the beginning of a frame. */
    static String typeAndId(byte[] frame) {
        int length = Math.min(frame.length, 16);
        return new String(frame, 0, length, StandardCharsets.US_ASCII).split(" ")[0];
    }

    /** Returns a result frame with this payload: its header and value. */
    static byte[] result(String payload) {
        return FrameEncoder.encode('q', payload.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        server.close();
        loop.close();
    }

    private final class OutcomeRecorder implements QueryListener {

        @Override
        public void onAnswer(Query query, boolean complete) {
            record("answered", query);
        }

        @Override
        public void onRejected(Query query, double retryAfterS) {
            record("rejected", query);
        }

        @Override
        public void onFailed(Query query, boolean overdue) {
            record("failed", query);
        }

        private void record(String kind, Query query) {
            outcomes.add(kind + ' ' + query.parts().get(0).lastOutcome());
        }
    }
}
