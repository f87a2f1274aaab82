package pepperdock.core;

import java.util.function.ObjDoubleConsumer;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.AttemptResult;
import pepperdock.scheduler.LoadReport;
import pepperdock.scheduler.Scheduler;

/** Gives each attempt exactly one outcome and reports it to the scheduler. Owned by the gatherer's thread. */
final class AttemptLifecycle {

    private final Clock clock;
    private final Metrics metrics;
    private final Backend backend;
    private final EventBatcher batcher;
    private final InternalFailures failures;
    private ObjDoubleConsumer<Attempt> servedListener = (attempt, elapsedS) -> {};

    AttemptLifecycle(Clock clock, Metrics metrics, Backend backend, EventBatcher batcher, InternalFailures failures) {
        this.metrics = metrics;
        this.failures = failures;
        this.clock = clock;
        this.backend = backend;
        this.batcher = batcher;
    }

    void setServedListener(ObjDoubleConsumer<Attempt> listener) {
        servedListener = listener;
    }

    /** Abandons an attempt as timed out after {@code afterS} seconds, unless it has ended by then. */
    void startTimeout(Attempt attempt, double afterS) {
        attempt.timeout = clock.after(afterS, () -> abandonAttempt(attempt, AttemptOutcome.TIMEOUT));
    }

    /**
     * Records the outcome of an attempt; later outcomes are ignored. The value of a successful attempt is stored in its
     * part only when the batch closes, and only if the part has no value and the query has not ended by then.
     */
    void onAttemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report, byte[] value) {
        if (attempt.hasEnded()) {
            if (outcome == AttemptOutcome.OK) {
                backend.releaseUnusedAnswer(attempt, value);
            }
            return;
        }
        attempt.outcome = outcome;
        if (attempt.timeout != null) {
            attempt.timeout.cancel();
        }
        double elapsedS = clock.now() - attempt.decidedAt;
        batcher.enqueueEvent(scheduler -> report(scheduler, attempt, value, elapsedS, report));
    }

    /** Reports the outcome of an attempt, which may have been retracted since it was recorded. */
    private void report(Scheduler scheduler, Attempt attempt, byte[] value, double elapsedS, LoadReport report) {
        attempt.reported = true;
        AttemptOutcome outcome = attempt.outcome;
        boolean unused = false;
        if (outcome == AttemptOutcome.OVERLOADED) {
            metrics.recordTurnedAwayAttempt();
        } else if (outcome == AttemptOutcome.OK) {
            unused = !storeValue(attempt, value);
            failures.run("a listener recorded a served attempt", () -> servedListener.accept(attempt, elapsedS));
        }
        scheduler.onAttemptResult(
                new AttemptResult(attempt.part().id, attempt.number, attempt.worker, outcome, elapsedS, report));
        if (unused) {
            backend.releaseUnusedAnswer(attempt, value);
        }
    }

    /**
     * Retracts a worker's result, which counts as a reset from then on: the attempt may have run, and its value is not
     * used any more unless the query has ended.
     */
    void retractResult(Attempt attempt) {
        if (!isResult(attempt.outcome)) {
            return;
        }
        attempt.outcome = AttemptOutcome.RESET;
        metrics.recordRetractedResult();
        Part part = attempt.part();
        if (!attempt.reported) {
            return;
        }
        if (part.answeredBy == attempt && part.query().ended) {
            metrics.recordResultRetractedTooLate();
            return;
        }
        if (part.answeredBy == attempt) {
            part.value = null;
            part.answeredBy = null;
        }
        batcher.enqueueEvent(scheduler -> scheduler.onResultRetracted(part.id, attempt.number));
    }

    private static boolean isResult(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR || outcome == AttemptOutcome.OVERLOADED;
    }

    /** Stores the value in the attempt's part; returns false if the part does not need it. */
    private static boolean storeValue(Attempt attempt, byte[] value) {
        Part part = attempt.part();
        if (part.value != null || part.query().ended) {
            return false;
        }
        part.value = value;
        part.answeredBy = attempt;
        return true;
    }

    /** Ends an attempt that has no outcome yet, and cancels it in the backend if it was handed over. */
    void abandonAttempt(Attempt attempt, AttemptOutcome outcome) {
        if (!attempt.hasEnded()) {
            onAttemptEnded(attempt, outcome, LoadReport.NONE, null);
            if (attempt.handedToBackend) {
                failures.run("the backend cancelled an attempt", () -> backend.cancel(attempt));
            }
        }
    }
}
