package pepperdock.platform;

import java.util.ArrayDeque;
import pepperdock.codec.frame.FrameException;
import pepperdock.core.Clock;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.LoadReport;

/**
 * The health checks that are pending on one connection. Answers carry no id and come in the order of the checks. Owned by the
 * loop's thread; each check has one outcome.
 */
final class PendingHealthChecks {

    /** Seconds: a worker answers at once, so that a longer wait tells no more than this one. */
    private static final double TIMEOUT_S = 0.25;

    private record HealthCheck(double sentAt, Clock.Timer timeout) {}

    private final WorkerContext context;
    private final ArrayDeque<HealthCheck> pending = new ArrayDeque<>();
    /** Checks that timed out and whose answers may still come. */
    private int timedOut;

    PendingHealthChecks(WorkerContext context) {
        this.context = context;
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** A check is about to be written. */
    void add() {
        double now = context.loop().now();
        pending.addLast(new HealthCheck(now, context.loop().after(TIMEOUT_S, this::onTimeout)));
    }

    private void onTimeout() {
        if (!pending.isEmpty()) {
            pending.removeFirst();
            timedOut++;
            report(AttemptOutcome.TIMEOUT, TIMEOUT_S);
        }
    }

    /** An answer has come: that of the oldest pending check, or of one that has timed out. */
    void onAnswer(AttemptOutcome outcome) throws FrameException {
        HealthCheck check = pending.pollFirst();
        if (check != null) {
            check.timeout().cancel();
            report(outcome, context.loop().now() - check.sentAt());
        } else if (--timedOut < 0) {
            throw new FrameException("health check answer without a health check");
        }
    }

    /** The connection has ended, and all pending checks with it. */
    void onConnectionReset() {
        pending.forEach(check -> {
            check.timeout().cancel();
            report(AttemptOutcome.RESET, context.loop().now() - check.sentAt());
        });
        pending.clear();
    }

    private void report(AttemptOutcome outcome, double tookS) {
        context.core().onHealthCheckEnded(context.workerId(), outcome, tookS, LoadReport.NONE);
    }
}
