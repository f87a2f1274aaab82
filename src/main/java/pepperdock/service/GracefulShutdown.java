package pepperdock.service;

import java.util.List;
import pepperdock.core.Gatherer;
import pepperdock.operator.UpgradePeer;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpServer;

/**
 * Shuts down gracefully on SIGTERM: queries in flight are finished, queries that still arrive are answered, and the
 * program exits before SIGKILL. Clients use their connections for as long as these are open, and the next gatherer may
 * only be starting. So clients are served as before, and their connections are closed only when the remaining time is
 * needed to finish. This is a signal handler and not a shutdown hook, since a hook of the JDK closes the log at the
 * same time. Runs on the loop's thread.
 */
final class GracefulShutdown {

    private static final System.Logger LOG = System.getLogger("pepperdock");
    /** SIGKILL comes no sooner than the longest deadline, capped at this value, plus {@link #KILL_MARGIN_S}. */
    private static final double MAX_DEADLINE_S = 3;

    private static final double KILL_MARGIN_S = 0.7;
    /**
     * New connections keep arriving for 0.4 s after the signal; waiting ends after this time if no connection is left.
     */
    private static final double ARRIVAL_GRACE_S = 0.6;
    /**
     * Start of each stage, in seconds before SIGKILL: responses close their connections, idle connections are closed,
     * queries in flight fail, the program exits. The first two are as late as possible while most answers, which take
     * under 0.1 s, can still be written: the successor of another gatherer may be ready only 0.1 to 0.3 s after the
     * last connections here are closed. The other two leave enough time to write all answers on half a processor core,
     * since queries unanswered at SIGKILL are lost.
     */
    private static final double CLOSE_AFTER_RESPONSE_S = 0.65;

    private static final double CLOSE_IDLE_S = 0.45;
    private static final double FAIL_QUERIES_S = 0.35;
    private static final double EXIT_S = 0.2;
    private static final double CHECK_INTERVAL_S = 0.02;
    /**
     * Time without a connection or query, required first with listening sockets open and again with them closed, before
     * exit.
     */
    private static final double QUIET_PERIOD_S = 0.1;

    private final EventLoop loop;
    private final List<HttpServer> servers;
    private final Gatherer core;
    private final Runnable announceLeave;
    private final UpgradePeer otherProcess;
    private boolean started;
    private boolean stoppedListening;
    private double quietSince = Double.NaN;

    /**
     * Creates the shutdown, whose first step is {@code announceLeave}: it tells the other gatherers that this one
     * leaves.
     */
    GracefulShutdown(
            EventLoop loop, List<HttpServer> servers, Gatherer core, UpgradePeer otherProcess, Runnable announceLeave) {
        this.otherProcess = otherProcess;
        this.announceLeave = announceLeave;
        this.loop = loop;
        this.servers = servers;
        this.core = core;
    }

    /** Installs the handlers of SIGTERM and SIGINT. */
    void installSignalHandlers() {
        SignalHandlers.on("TERM", () -> loop.execute(this::start));
        SignalHandlers.on("INT", () -> loop.execute(this::start));
    }

    private void start() {
        if (started) {
            return;
        }
        started = true;
        announceLeave.run();
        double now = loop.now();
        double secondsToKill = KILL_MARGIN_S
                + Math.min(
                        MAX_DEADLINE_S,
                        core.settings().classes().stream()
                                .mapToDouble(queryClass -> queryClass.deadlineS())
                                .max()
                                .orElse(MAX_DEADLINE_S));
        LOG.log(System.Logger.Level.INFO, "draining, {0} queries in flight", core.inFlightQueries());
        loop.after(secondsToKill - CLOSE_AFTER_RESPONSE_S, () -> servers.forEach(HttpServer::drain));
        loop.after(secondsToKill - CLOSE_IDLE_S, () -> servers.forEach(HttpServer::stopListening));
        loop.after(secondsToKill - FAIL_QUERIES_S, core::endAllQueries);
        loop.after(secondsToKill - EXIT_S, () -> {
            servers.forEach(HttpServer::readAllNow);
            // One iteration of the loop later, requests that were read just now have been rejected and the responses
            // written.
            loop.after(CHECK_INTERVAL_S, () -> exit("{0} queries in flight"));
        });
        otherProcess.refresh(() -> continueShutdown(now + secondsToKill - CLOSE_IDLE_S));
    }

    /** Continues the shutdown once it is known whether another process serves clients. */
    private void continueShutdown(double closeAt) {
        if (otherProcess.otherProcessServes()) {
            // The other process gets new connections; each connection here is closed with its next response.
            LOG.log(System.Logger.Level.INFO, "another process serves clients, no new connections here");
            servers.forEach(HttpServer::drain);
            servers.forEach(HttpServer::stopListeningAtOnce);
            otherProcess.handOver();
            exitWhenDone(closeAt);
        } else {
            loop.after(ARRIVAL_GRACE_S, () -> exitWhenDone(closeAt));
        }
    }

    /**
     * Exits once all answers and the state for other processes are completely written and no connection is left, after a quiet period with listening
     * sockets open and another with them closed. If it exited earlier, a client that the operating system has just
     * accepted would get no answer.
     */
    private void exitWhenDone(double closeAt) {
        boolean allWritten =
                servers.stream().mapToInt(HttpServer::busyConnectionCount).sum() == 0;
        boolean connectionsDone = loop.now() > closeAt
                || servers.stream().mapToInt(HttpServer::connectionCount).sum() == 0;
        if (core.inFlightQueries() > 0 || !allWritten || !connectionsDone || otherProcess.hasUnwrittenState()) {
            quietSince = Double.NaN;
        } else if (Double.isNaN(quietSince)) {
            quietSince = loop.now();
        } else if (loop.now() - quietSince > QUIET_PERIOD_S) {
            if (stoppedListening) {
                exitUnlessQueryArrived();
            } else {
                stoppedListening = true;
                quietSince = loop.now();
                servers.forEach(HttpServer::stopListening);
            }
        }
        loop.after(CHECK_INTERVAL_S, () -> exitWhenDone(closeAt));
    }

    /** Exits unless a query has just arrived; that query is read and answered first. */
    private void exitUnlessQueryArrived() {
        servers.forEach(HttpServer::readAllNow);
        if (core.inFlightQueries() == 0
                && servers.stream().mapToInt(HttpServer::busyConnectionCount).sum() == 0) {
            exit("no queries in flight");
        }
        quietSince = Double.NaN;
    }

    private void exit(String outcome) {
        LOG.log(System.Logger.Level.INFO, "drained, " + outcome, core.inFlightQueries());
        System.exit(0);
    }
}
