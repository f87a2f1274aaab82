package pepperdock.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import pepperdock.codec.frame.FrameEncoder;
import pepperdock.codec.frame.FrameException;
import pepperdock.codec.frame.FrameParser;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpParser;
import pepperdock.config.DeploymentSettings;
import pepperdock.core.Attempt;
import pepperdock.core.Clock;
import pepperdock.core.Gatherer;
import pepperdock.core.ManualClock;
import pepperdock.core.NoOpBackend;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.LoadReport;
import pepperdock.transport.HttpResponseSender;

/**
 * Runs synthetic queries through the front, the core and the frame codec, so that no client waits for class
 * initialisation or for code that is still interpreted. The queries run on a separate gatherer with its own clock, and
 * what that gatherer learns is discarded.
 *
 * <p>{@link #runQueries} is called with {@link #QUERIES_BEFORE_READY} before the gatherer reports that it is ready;
 * {@link #runRemainingQueries} runs the others between the queries of the first clients, because startup must be short
 * on a fraction of a processor core. Used by one thread at a time: first the starting thread, then the loop's.
 */
public final class JvmWarmup {

    /**
     * Queries to run before the gatherer is ready. On half a processor core with many clients waiting, one query was
     * too few: all client queries of the first second ran out of time. Running all {@link #TOTAL_QUERIES} would delay
     * the start by a second.
     */
    public static final int QUERIES_BEFORE_READY = 24;
    /** The number of queries after which the code on a query's path has been compiled. */
    private static final int TOTAL_QUERIES = 150;
    /** Seconds between the remaining queries; on half a processor core they take a few per cent of the time. */
    private static final double REMAINING_INTERVAL_S = 0.02;
    /** Seconds from one query to the next on the warm-up's own clock: each is answered before the next begins. */
    private static final double QUERY_INTERVAL_S = 0.3;
    /** Seconds until a worker answers, on the warm-up's own clock. */
    private static final double WORKER_LATENCY_S = 0.1;
    /** The most parts of a query; it has fewer if the layout has fewer shards. */
    private static final int MAX_PARTS = 40;
    /** The maximum size of a request, or of a worker's frame. */
    private static final int MAX_MESSAGE_BYTES = 1 << 16;

    private static final String VALUE = "value";

    private final DeploymentSettings settings;
    private final ManualClock clock = new ManualClock(1000);
    private final PlatformFront front;
    private final HttpParser parser = HttpParser.ofRequests(MAX_MESSAGE_BYTES);
    private int queriesRun;
    private int queriesAnswered;

    /** Creates a gatherer with one worker for each cell of the deployment's layout. */
    public JvmWarmup(DeploymentSettings settings) {
        this.settings = settings;
        FixedValueBackend backend = new FixedValueBackend(clock);
        Gatherer core = new Gatherer(settings.scheduler(), 1, clock, backend, () -> {});
        backend.core = core;
        List<WorkerEndpoint> endpoints = new ArrayList<>();
        for (int cell = 0; cell < settings.scheduler().layout().cells(); cell++) {
            endpoints.add(new WorkerEndpoint("warm-" + cell, "", 0, 0, cell, EndpointState.HEALTHY, 1, 0));
        }
        core.onEndpointList(EndpointListKind.CACHED, endpoints);
        core.onEndpointList(EndpointListKind.CHANGES, endpoints);
        front = new PlatformFront(settings, core, () -> true);
    }

    /** Runs {@code count} queries now; returns how many of all queries run so far have been answered. */
    public int runQueries(int count) {
        HttpResponseSender reply = (status, type, extra, body) -> queriesAnswered += status == 200 ? 1 : 0;
        for (int end = queriesRun + count; queriesRun < end; queriesRun++) {
            byte[] request = request(queriesRun);
            try {
                parser.feed(request, 0, request.length);
                front.serve(parser.take(), reply);
            } catch (HttpException e) {
                throw new IllegalStateException("warm-up", e);
            }
            clock.advance(QUERY_INTERVAL_S);
        }
        return queriesAnswered;
    }

    /**
     * Runs the remaining queries one by one on the loop. Each is skipped unless {@code idle} returns true, because
     * client queries then warm the same code.
     */
    public void runRemainingQueries(Clock loop, BooleanSupplier idle) {
        loop.after(REMAINING_INTERVAL_S, () -> {
            if (idle.getAsBoolean()) {
                runQueries(1);
            } else {
                queriesRun++;
            }
            if (queriesRun < TOTAL_QUERIES) {
                runRemainingQueries(loop, idle);
            }
        });
    }

    private byte[] request(int index) {
        String body =
                queryBody(Math.min(MAX_PARTS, settings.scheduler().layout().shards()));
        String queryClass = settings.classes().get(index % settings.classes().size());
        String head = "POST /api HTTP/1.1\r\nHost: warm\r\nRequest-Id: warm" + index
                + "\r\nRequest-Class: " + queryClass
                + "\r\nRequest-Timeout-Ms: 3000\r\nIdempotency-Key: w" + index
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the body of a query for the first shards, with equal weights. */
    private static String queryBody(int parts) {
        StringBuilder ranges = new StringBuilder();
        for (int shard = 0; shard < parts; shard++) {
            ranges.append(shard == 0 ? "" : ",")
                    .append("{\"range\":")
                    .append(shard)
                    .append(",\"portion\":")
                    .append(1.0 / parts)
                    .append('}');
        }
        return "{\"ranges\":[" + ranges + "],\"predicate\":\"warm\"}";
    }

    /** Answers every call with a fixed value after {@link #WORKER_LATENCY_S}, through the frame codec. */
    private static final class FixedValueBackend extends NoOpBackend {

        private final ManualClock clock;
        /** Set after the gatherer has been constructed with this backend. */
        private Gatherer core;

        private FixedValueBackend(ManualClock clock) {
            this.clock = clock;
        }

        @Override
        public void sendCall(String worker, List<Attempt> call) {
            List<WorkerProtocol.CallPart> parts = call.stream()
                    .map(attempt -> new WorkerProtocol.CallPart(
                            WorkerProtocol.wireId(attempt),
                            attempt.part().shard(),
                            100,
                            "",
                            attempt.part().query().request().body()))
                    .toList();
            int callBytes = WorkerProtocol.encodeCall(parts).length;
            FrameParser parser = new FrameParser(MAX_MESSAGE_BYTES, WorkerProtocol.TYPES_FROM_WORKERS);
            clock.after(WORKER_LATENCY_S, () -> {
                byte[] frame = FrameEncoder.encode(
                        WorkerProtocol.RESULT,
                        ("w." + callBytes + " good 1 -\n" + VALUE).getBytes(StandardCharsets.UTF_8));
                try {
                    parser.feed(frame, 0, frame.length);
                    WorkerProtocol.parseResult(parser.take().payload());
                } catch (FrameException e) {
                    throw new IllegalStateException("warm-up", e);
                }
                call.forEach(attempt -> core.onAttemptEnded(
                        attempt, AttemptOutcome.OK, LoadReport.NONE, VALUE.getBytes(StandardCharsets.UTF_8)));
            });
        }
    }
}
