package pepperdock.platform;

import java.util.ArrayDeque;
import pepperdock.codec.frame.FrameException;
import pepperdock.core.Clock;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.LoadReport;

/**
 * Tracks the health checks that are pending on one connection. Answers carry no id and arrive in the order of the
 * checks. Each check has exactly one outcome. Owned by the loop's thread.
 */
final class PendingHealthChecks {

    /** Seconds until a check times out: a worker answers at once, so a longer wait would reveal nothing more. */
    private static final double TIMEOUT_S = 0.25;

    private record HealthCheck(double sentAt, Clock.Timer timeout) {}

    private final WorkerContext context;
    private final ArrayDeque<HealthCheck> pending = new ArrayDeque<>();
    /** The number of checks that timed out and whose answers may still arrive. */
    private int timedOut;

    PendingHealthChecks(WorkerContext context) {
        this.context = context;
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Records a check that is about to be written. */
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

    /** Handles an answer, which is that of the oldest pending check, or of one that has timed out. */
    void onAnswer(AttemptOutcome outcome) throws FrameException {
        HealthCheck check = pending.pollFirst();
        if (check != null) {
            check.timeout().cancel();
            report(outcome, context.loop().now() - check.sentAt());
        } else if (--timedOut < 0) {
            throw new FrameException("health check answer, but no health check is outstanding");
        }
    }

    /** Ends all pending checks, because the connection has ended. */
    void onConnectionReset() {
        pending.forEach(check -> {
            check.timeout().cancel();
            report(AttemptOutcome.RESET, context.loop().now() - check.sentAt());
        });
        pending.clear();
    }

    private void report(AttemptOutcome outcome, double durationS) {
        context.core().onHealthCheckEnded(context.workerId(), outcome, durationS, LoadReport.NONE);
    }
}
