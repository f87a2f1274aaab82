package pepperdock.service;

import java.util.List;
import pepperdock.core.Gatherer;
import pepperdock.operator.UpgradePeer;
import pepperdock.transport.HttpServer;
import pepperdock.transport.Loop;

/**
 * The planned end, on SIGTERM: what was taken is finished, what still arrives is answered, and the program is gone before
 * SIGKILL. Clients keep the connections they have for as long as these stand, and the next gatherer may just be starting:
 * so they are served on, and sent elsewhere only when the time left is needed to finish. Handled as a signal, not in a
 * shutdown hook, since the JDK's log is closed by a hook of its own at the same time.
 */
final class Drain {

    private static final System.Logger LOG = System.getLogger("pepperdock");
    /** SIGKILL comes no sooner than the longest deadline, counted as this at most, and {@link #SPARE_S}. */
    private static final double DEADLINE_MOST_S = 3;

    private static final double SPARE_S = 0.7;
    /** New connections keep coming for 0.4 s; with none left after that there is nothing to wait for. */
    private static final double STILL_COMING_S = 0.6;
    /**
     * Before SIGKILL by so much: replies close their connections, idle ones are closed, what is in hand fails, the end.
     * The first two as late as answers allow, most of which take under 0.1 s: found on a day of restarts, where the
     * successor of another gatherer was ready 0.1 to 0.3 s after the last connections here had been closed. The other two
     * stay: what is unanswered at SIGKILL is lost, and half a core needs its time to write.
     */
    private static final double SEND_AWAY_S = 0.65;

    private static final double CLOSE_S = 0.45;
    private static final double FAIL_S = 0.35;
    private static final double END_S = 0.2;
    private static final double LOOK_S = 0.02;
    /** So long nobody may have come or asked, first with sockets that listen and then without, before the end. */
    private static final double QUIET_S = 0.1;

    private final Loop loop;
    private final List<HttpServer> servers;
    private final Gatherer core;
    private final Runnable leave;
    private final UpgradePeer otherProcess;
    private boolean begun;
    private boolean stopped;
    private double quietSince = Double.NaN;

    /** {@code leave} tells others that this one goes, before all else. */
    Drain(Loop loop, List<HttpServer> servers, Gatherer core, UpgradePeer otherProcess, Runnable leave) {
        this.otherProcess = otherProcess;
        this.leave = leave;
        this.loop = loop;
        this.servers = servers;
        this.core = core;
    }

    void onSignal() {
        Signals.on("TERM", () -> loop.execute(this::begin));
        Signals.on("INT", () -> loop.execute(this::begin));
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
                        DEADLINE_MOST_S,
                        core.settings().classes().stream()
                                .mapToDouble(c -> c.deadlineS())
                                .max()
                                .orElse(DEADLINE_MOST_S));
        LOG.log(System.Logger.Level.INFO, "draining, {0} in hand", core.inFlightQueries());
        loop.after(killS - SEND_AWAY_S, () -> servers.forEach(HttpServer::drain));
        loop.after(killS - CLOSE_S, () -> servers.forEach(HttpServer::stopListening));
        loop.after(killS - FAIL_S, core::endAllQueries);
        loop.after(killS - END_S, () -> {
            servers.forEach(HttpServer::poll);
            // A turn of the loop later: what was read just now has been refused and written.
            loop.after(LOOK_S, () -> end("with {0} in hand"));
        });
        otherProcess.refresh(() -> begin(now + killS - CLOSE_S));
    }

    /** As soon as it is known whether clients have another process to go to. */
    private void begin(double closedAt) {
        if (otherProcess.otherProcessServes()) {
            // Whoever connects from now on is the other's; whoever is here is sent there with its next reply.
            LOG.log(System.Logger.Level.INFO, "another process serves on, no new connections here");
            servers.forEach(HttpServer::drain);
            servers.forEach(HttpServer::handOver);
            otherProcess.handOver();
            whenDone(closedAt);
        } else {
            loop.after(STILL_COMING_S, () -> whenDone(closedAt));
        }
    }

    /**
     * Answers count once their last byte is written; clients that keep a connection are waited for till it is closed. The
     * end comes after a quiet time, and after the listening sockets are closed: ended at the first moment with nothing in
     * hand, whoever was just connecting found a machine that accepts and a program that is gone.
     */
    private void whenDone(double closedAt) {
        boolean written = servers.stream().mapToInt(HttpServer::busy).sum() == 0;
        boolean left = loop.now() > closedAt
                || servers.stream().mapToInt(HttpServer::connections).sum() == 0;
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
        loop.after(LOOK_S, () -> whenDone(closedAt));
    }

    /** What has come in this very moment is read before the end, and answered. */
    private void endUnlessAsked() {
        servers.forEach(HttpServer::poll);
        if (core.inFlightQueries() == 0
                && servers.stream().mapToInt(HttpServer::busy).sum() == 0) {
            end("with nothing in hand");
        }
        quietSince = Double.NaN;
    }

    private void end(String how) {
        LOG.log(System.Logger.Level.INFO, "drained, " + how, core.inFlightQueries());
        System.exit(0);
    }
}
