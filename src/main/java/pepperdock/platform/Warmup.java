package pepperdock.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import pepperdock.codec.frame.FrameException;
import pepperdock.codec.frame.FrameParser;
import pepperdock.codec.frame.Frames;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpParser;
import pepperdock.config.DeploymentSettings;
import pepperdock.core.Attempt;
import pepperdock.core.Backend;
import pepperdock.core.Clock;
import pepperdock.core.Gatherer;
import pepperdock.core.ManualClock;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.LoadReport;
import pepperdock.transport.HttpServer;

/**
 * Plays queries through front, core, module and frames on a clock of its own, so that a client does not wait for classes to
 * be initialised and for code that is still interpreted. What it learns is thrown away with it. A few before the program
 * says that it is ready; {@link #spread the rest} beside the first clients, as a start on part of a core must be short.
 */
public final class Warmup {

    /**
     * Before ready. Measured on half a core with a crowd waiting: after one, the first second's queries all ran out of time;
     * 150 delay the start by a second.
     */
    public static final int BEFORE = 24;
    /** In all: with these, the code on a query's path has been compiled. */
    private static final int QUERIES = 150;
    /** One of the rest so often; at half a core it takes a few per cent of the time between. */
    private static final double PAUSE_S = 0.02;

    private static final int PARTS_MOST = 40;

    private final DeploymentSettings site;
    private final ManualClock clock = new ManualClock(1000);
    private final Gatherer[] core = new Gatherer[1];
    private final Front front;
    private final HttpParser parser = HttpParser.ofRequests(1 << 16);
    private int played;
    private int answered;

    public Warmup(DeploymentSettings site) {
        this.site = site;
        core[0] = new Gatherer(site.module(), 1, clock, new Echo(clock, core), () -> {});
        List<WorkerEndpoint> hosts = new ArrayList<>();
        for (int cell = 0; cell < site.module().layout().cells(); cell++) {
            hosts.add(new WorkerEndpoint("warm-" + cell, "", 0, 0, cell, EndpointState.HEALTHY, 1, 0));
        }
        core[0].onEndpointList(EndpointListKind.CACHED, hosts);
        core[0].onEndpointList(EndpointListKind.CHANGES, hosts);
        front = new Front(site, core[0], () -> true);
    }

    /** Plays so many queries now; returns how many of all played so far were answered. */
    public int play(int queries) {
        HttpServer.Reply reply = (status, type, extra, body) -> answered += status == 200 ? 1 : 0;
        for (int end = played + queries; played < end; played++) {
            byte[] request = request(site, played);
            try {
                parser.feed(request, 0, request.length);
                front.serve(parser.take(), reply);
            } catch (HttpException e) {
                throw new IllegalStateException("warm-up", e);
            }
            clock.advance(0.3);
        }
        return answered;
    }

    /** Plays the rest one by one on the loop, each only while {@code idle}: real queries warm the same code. */
    public void spread(Clock loop, BooleanSupplier idle) {
        loop.after(PAUSE_S, () -> {
            if (idle.getAsBoolean()) {
                play(1);
            } else {
                played++;
            }
            if (played < QUERIES) {
                spread(loop, idle);
            }
        });
    }

    private static byte[] request(DeploymentSettings site, int i) {
        int parts = Math.min(PARTS_MOST, site.module().layout().shards());
        StringBuilder ranges = new StringBuilder();
        for (int shard = 0; shard < parts; shard++) {
            ranges.append(shard == 0 ? "" : ",")
                    .append("{\"range\":")
                    .append(shard)
                    .append(",\"portion\":")
                    .append(1.0 / parts)
                    .append('}');
        }
        String body = "{\"ranges\":[" + ranges + "],\"predicate\":\"warm\"}";
        return ("POST /api HTTP/1.1\r\nHost: warm\r\nRequest-Id: warm" + i + "\r\nRequest-Class: "
                        + site.classes().get(i % site.classes().size())
                        + "\r\nRequest-Timeout-Ms: 3000\r\nIdempotency-Key: w" + i
                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Answers every call after a while, by way of the frames. */
    private record Echo(ManualClock clock, Gatherer[] core) implements Backend {

        @Override
        public void sendCall(String worker, List<Attempt> call) {
            List<Frames.PartCall> parts = call.stream()
                    .map(a -> new Frames.PartCall(
                            WorkerConnection.wireId(a),
                            a.part().shard(),
                            100,
                            "",
                            a.part().query().request().body()))
                    .toList();
            int length = Frames.call(parts).length;
            FrameParser parser = new FrameParser(1 << 16, Frames.FROM_WORKERS);
            clock.after(0.1, () -> {
                byte[] frame = Frames.frame(
                        Frames.RESULT, ("w." + length + " good 1 -\nvalue").getBytes(StandardCharsets.UTF_8));
                try {
                    parser.feed(frame, 0, frame.length);
                    Frames.result(parser.take().rest());
                } catch (FrameException e) {
                    throw new IllegalStateException("warm-up", e);
                }
                call.forEach(a -> core[0].onAttemptEnded(
                        a, AttemptOutcome.OK, LoadReport.NONE, "value".getBytes(StandardCharsets.UTF_8)));
            });
        }

        @Override
        public void cancel(Attempt attempt) {}

        @Override
        public void checkHealth(String worker) {}

        @Override
        public void closeIdleConnections(String worker) {}

        @Override
        public void updateEndpoints(Map<String, WorkerEndpoint> hosts) {}
    }
}
