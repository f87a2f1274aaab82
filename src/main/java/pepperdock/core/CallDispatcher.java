package pepperdock.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.LoadReport;
import pepperdock.scheduler.RetrySafety;

/**
 * Groups the attempts that the scheduler decides to send into calls of the backend. Attempts of one batch at the same
 * worker share calls, up to the batch size of the settings, because each call has a fixed cost. Whether an attempt may
 * be sent is checked when it is decided on and again when its call is dispatched. Owned by the gatherer's thread.
 */
final class CallDispatcher {

    private final Clock clock;
    private final Backend backend;
    private final SettingsHolder settings;
    private final KnownEndpoints endpoints;
    private final AttemptLifecycle attempts;
    private final InternalFailures failures;
    private final SentQueryIds sentIds;
    /** Attempts decided on in this batch, by worker, in the order of the decisions. */
    private final Map<String, List<Attempt>> pendingAttempts = new LinkedHashMap<>();

    CallDispatcher(
            Clock clock,
            Backend backend,
            SettingsHolder settings,
            KnownEndpoints endpoints,
            AttemptLifecycle attempts,
            InternalFailures failures,
            SentQueryIds sentIds) {
        this.sentIds = sentIds;
        this.failures = failures;
        this.clock = clock;
        this.backend = backend;
        this.settings = settings;
        this.endpoints = endpoints;
        this.attempts = attempts;
    }

    /**
     * Starts an attempt at a part; an attempt that must not be sent ends at once as not sent.
     *
     * @param until time at which the attempt is abandoned, in seconds on the clock; 0 for the query's deadline, which
     *     is also the latest possible time
     */
    void sendAttempt(Part part, String worker, double until) {
        Query query = part.query();
        double now = clock.now();
        double deadline = until > 0 ? Math.min(until, query.deadline) : query.deadline;
        Attempt attempt = new Attempt(part, part.attempts.size(), worker, now, deadline, latestStartAt(part));
        part.attempts.add(attempt);
        if (query.ended
                || deadline <= now
                || !endpoints.acceptsAttempts(worker)
                || !attempt.mayStart(now)
                || part.attempts.size() > query.maxAttempts) {
            attempts.onAttemptEnded(attempt, AttemptOutcome.NOT_SENT, LoadReport.NONE, null);
            return;
        }
        attempts.startTimeout(attempt, deadline - now);
        pendingAttempts.computeIfAbsent(worker, id -> new ArrayList<>()).add(attempt);
    }

    /**
     * Returns the latest time at which another attempt at a part may start. If an earlier attempt may have been
     * executed, this is the end of the window in which the worker recognises a repeat. The window is counted from the
     * decision on the first such attempt, which is never later than its sending.
     */
    private static double latestStartAt(Part part) {
        RetrySafety retrySafety = part.query().queryClass.retrySafety();
        double windowS = part.query().queryClass.idempotencyWindowS();
        return retrySafety == RetrySafety.IDEMPOTENT
                ? Double.POSITIVE_INFINITY
                : part.attempts.stream()
                        .filter(attempt -> !attempt.neverExecuted())
                        .findFirst()
                        .map(attempt -> retrySafety == RetrySafety.IDEMPOTENCY_KEY
                                ? attempt.decidedAt + windowS
                                : Double.NEGATIVE_INFINITY)
                        .orElse(Double.POSITIVE_INFINITY);
    }

    /** Hands the attempts of the batch to the backend, in calls of at most the configured batch size. */
    void dispatchCalls() {
        Map<String, List<Attempt>> batch = new LinkedHashMap<>(pendingAttempts);
        pendingAttempts.clear();
        batch.forEach((worker, decided) -> {
            if (!failures.run("calls to a worker were sent", () -> dispatchCalls(worker, decided))) {
                endAfterFailure(decided);
            }
        });
    }

    private void dispatchCalls(String worker, List<Attempt> decided) {
        List<Attempt> startable = retainStartable(decided);
        int maxPartsPerCall = settings.current().layout().maxPartsPerCall();
        for (int i = 0; i < startable.size(); i += maxPartsPerCall) {
            List<Attempt> call = startable.subList(i, Math.min(startable.size(), i + maxPartsPerCall));
            for (Attempt attempt : call) {
                attempt.handedToBackend = true;
                sentIds.add(attempt.part().query().request().id());
            }
            backend.sendCall(worker, call);
        }
    }

    /** Ends the attempts that a failure has left without an outcome; those handed to the backend may have been sent. */
    private void endAfterFailure(List<Attempt> decided) {
        for (Attempt attempt : decided) {
            attempts.abandonAttempt(attempt, attempt.handedToBackend ? AttemptOutcome.RESET : AttemptOutcome.NOT_SENT);
        }
    }

    /**
     * Returns those attempts that may start now; the others end as not sent. Polls their clients first: a disconnect
     * that the kernel has received, but that this thread was too busy to read, still precedes the attempt.
     */
    List<Attempt> retainStartable(List<Attempt> waiting) {
        waiting.stream()
                .filter(attempt -> !attempt.hasEnded())
                .map(attempt -> attempt.part().query())
                .distinct()
                .forEach(query -> query.listener.pollForDisconnect());
        double now = clock.now();
        List<Attempt> startable =
                waiting.stream().filter(attempt -> attempt.mayStart(now)).toList();
        waiting.stream()
                .filter(attempt -> !attempt.mayStart(now))
                .forEach(attempt -> attempts.onAttemptEnded(attempt, AttemptOutcome.NOT_SENT, LoadReport.NONE, null));
        return startable;
    }
}
