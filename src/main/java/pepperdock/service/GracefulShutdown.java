package pepperdock.service;

import java.util.List;
import pepperdock.core.Gatherer;
import pepperdock.operator.UpgradePeer;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpServer;

/**
 * Graceful shutdown, on SIGTERM: queries in flight are finished, those that still arrive are answered, and the program ends
 * before SIGKILL. Clients keep their connections for as long as these are open, and the next gatherer may just be starting: so
 * they are served on, and their connections closed only when the time left is needed to finish. Handled as a signal, not in a
 * shutdown hook, since the JDK's log is closed by a hook of its own at the same time. On the loop's thread.
 */
final class GracefulShutdown {

    private static final System.Logger LOG = System.getLogger("pepperdock");
    /** SIGKILL comes no sooner than the longest deadline, counted as this at most, and {@link #SPARE_S}. */
    private static final double MAX_DEADLINE_S = 3;

    private static final double SPARE_S = 0.7;
    /** New connections keep coming for 0.4 s; with none left after that there is nothing to wait for. */
    private static final double STILL_COMING_S = 0.6;
    /**
     * The stages, in seconds before SIGKILL: responses close their connections, idle ones are closed, queries in flight fail,
     * the program ends. The first two are as late as answers allow, most of which take under 0.1 s: a successor of another
     * gatherer may be ready only 0.1 to 0.3 s after the last connections here have been closed. The other two leave half a
     * core the time to write: what is unanswered at SIGKILL is lost.
     */
    private static final double CLOSE_AFTER_RESPONSE_S = 0.65;

    private static final double CLOSE_S = 0.45;
    private static final double FAIL_S = 0.35;
    private static final double END_S = 0.2;
    private static final double CHECK_INTERVAL_S = 0.02;
    /** So long no connection and no query may have come, first with listening sockets and then without, before the end. */
    private static final double QUIET_S = 0.1;

    private final EventLoop loop;
    private final List<HttpServer> servers;
    private final Gatherer core;
    private final Runnable leave;
    private final UpgradePeer otherProcess;
    private boolean begun;
    private boolean stopped;
    private double quietSince = Double.NaN;

    /** {@code leave} announces to the other gatherers that this one shuts down, before all else. */
    GracefulShutdown(
            EventLoop loop, List<HttpServer> servers, Gatherer core, UpgradePeer otherProcess, Runnable leave) {
        this.otherProcess = otherProcess;
        this.leave = leave;
        this.loop = loop;
        this.servers = servers;
        this.core = core;
    }

    /** Shuts down on SIGTERM or SIGINT from now on. */
    void onSignal() {
        SignalHandlers.on("TERM", () -> loop.execute(this::begin));
        SignalHandlers.on("INT", () -> loop.execute(this::begin));
    }

    private void begin() {
        if (begun) {
            return;
        }
        begun = true;
        leave.run();
        double now = loop.now();
        double killS = SPARE_S
                + Math.min(
                        MAX_DEADLINE_S,
                        core.settings().classes().stream()
                                .mapToDouble(queryClass -> queryClass.deadlineS())
                                .max()
                                .orElse(MAX_DEADLINE_S));
        LOG.log(System.Logger.Level.INFO, "draining, {0} in hand", core.inFlightQueries());
        loop.after(killS - CLOSE_AFTER_RESPONSE_S, () -> servers.forEach(HttpServer::drain));
        loop.after(killS - CLOSE_S, () -> servers.forEach(HttpServer::stopListening));
        loop.after(killS - FAIL_S, core::endAllQueries);
        loop.after(killS - END_S, () -> {
            servers.forEach(HttpServer::readAllNow);
            // A turn of the loop later: what was read just now has been rejected and written.
            loop.after(CHECK_INTERVAL_S, () -> end("with {0} in hand"));
        });
        otherProcess.refresh(() -> begin(now + killS - CLOSE_S));
    }

    /** Goes on once it is known whether another process serves clients. */
    private void begin(double closedAt) {
        if (otherProcess.otherProcessServes()) {
            // New connections are the other's; each one here is closed with its next response.
            LOG.log(System.Logger.Level.INFO, "another process serves on, no new connections here");
            servers.forEach(HttpServer::drain);
            servers.forEach(HttpServer::stopListeningAtOnce);
            otherProcess.handOver();
            whenDone(closedAt);
        } else {
            loop.after(STILL_COMING_S, () -> whenDone(closedAt));
        }
    }

    /**
     * Ends once all answers are written to their last byte and no connection is left, after a quiet time and after the
     * listening sockets are closed: else a client that was just connecting would be accepted by the system and never answered.
     */
    private void whenDone(double closedAt) {
        boolean written =
                servers.stream().mapToInt(HttpServer::busyConnectionCount).sum() == 0;
        boolean left = loop.now() > closedAt
                || servers.stream().mapToInt(HttpServer::connectionCount).sum() == 0;
        if (core.inFlightQueries() > 0 || !written || !left) {
            quietSince = Double.NaN;
        } else if (Double.isNaN(quietSince)) {
            quietSince = loop.now();
        } else if (loop.now() - quietSince > QUIET_S) {
            if (stopped) {
                endUnlessAsked();
            } else {
                stopped = true;
                quietSince = loop.now();
                servers.forEach(HttpServer::stopListening);
            }
        }
        loop.after(CHECK_INTERVAL_S, () -> whenDone(closedAt));
    }

    /** Ends, unless a query has come in this very moment, which is read and answered first. */
    private void endUnlessAsked() {
        servers.forEach(HttpServer::readAllNow);
        if (core.inFlightQueries() == 0
                && servers.stream().mapToInt(HttpServer::busyConnectionCount).sum() == 0) {
            end("with nothing in hand");
        }
        quietSince = Double.NaN;
    }

    private void end(String how) {
        LOG.log(System.Logger.Level.INFO, "drained, " + how, core.inFlightQueries());
        System.exit(0);
    }
}
