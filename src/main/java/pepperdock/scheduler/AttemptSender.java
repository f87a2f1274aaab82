package pepperdock.scheduler;

/**
 * Sends and counts attempts. Every attempt passes through this class, which checks all conditions for an attempt when
 * it is sent.
 *
 * <p>The query must be open and its answer must still have value; the part must be wanted and have attempts left;
 * attempts at a part run concurrently only where {@link HedgingPolicy} allows it, and never at the same endpoint; a
 * retry must be safe and within the budget ({@link RetryPolicy}); and the endpoint must be listed as healthy and have
 * room in its slow start ({@link SlowStart}). This guards against decisions based on state that has changed since they
 * were proposed.
 */
final class AttemptSender {

    private final SchedulerContext context;
    private final SchedulerActions actions;
    private final Policies policies;

    /** The policies that are consulted for each attempt. */
    record Policies(
            AnswerDeadlines deadlines,
            OutlierDetector outliers,
            IdleConnectionPolicy idleConnections,
            ConcurrencyLimit limit,
            SlowStart slowStart,
            RetryPolicy retries,
            HedgingPolicy hedging) {}

    AttemptSender(SchedulerContext context, SchedulerActions actions, Policies policies) {
        this.context = context;
        this.actions = actions;
        this.policies = policies;
    }

    /** Returns whether an attempt at the part may be sent to the endpoint now. */
    boolean isAllowed(PartState part, EndpointRecord endpoint) {
        return isOpen(part)
                && endpoint.usable
                && context.nowS() < policies.deadlines.answerUntilS(part.query)
                && part.hasAttemptsLeft()
                && mayRunConcurrently(part, endpoint)
                && policies.retries.isRetrySafe(part)
                && policies.slowStart.admits(endpoint)
                && (part.attempts.isEmpty() || policies.retries.allowsRetry(part, endpoint));
    }

    /** Sends an attempt if it is allowed, and returns whether it was. */
    boolean send(PartState part, EndpointRecord endpoint) {
        if (!isAllowed(part, endpoint)) {
            return false;
        }
        policies.retries.onSend(part);
        if (part.attempts.isEmpty()) {
            policies.outliers.onFirstAttempt();
        }
        policies.slowStart.onSend(endpoint, part.query.classWork.workS());
        AttemptState attempt = new AttemptState(part, endpoint, joinCall(endpoint));
        if (policies.outliers.failureRate(endpoint) > OutlierDetector.CLEARLY_WORSE_RATE
                && !policies.outliers.isLastResort(part, endpoint)) {
            attempt.trial = true;
            policies.outliers.onTrial(endpoint);
        }
        // Counted only once it is sent: no result would ever end one that was not.
        actions.sendAttempt(part.id, endpoint.id, policies.deadlines.answerUntilS(part.query));
        part.attempts.add(attempt);
        endpoint.outstanding.add(attempt);
        part.outstanding++;
        policies.limit.onSend();
        return true;
    }

    private static boolean isOpen(PartState part) {
        return !part.query.ended && !part.isAnswered() && part.wanted;
    }

    private boolean mayRunConcurrently(PartState part, EndpointRecord endpoint) {
        return part.outstanding == 0
                || policies.hedging.mayHedge(part)
                        && endpoint.outstanding.stream().noneMatch(attempt -> attempt.part == part);
    }

    /**
     * Returns the call that carries the next part sent to the endpoint: the call of this batch while it has room,
     * otherwise a new one.
     */
    private CallState joinCall(EndpointRecord endpoint) {
        CallState call = endpoint.lastCall;
        boolean joins = call != null
                && call.sentAtS == context.nowS()
                && call.parts < context.settings().layout().maxPartsPerCall();
        if (!joins) {
            call = new CallState(context.nowS(), policies.idleConnections.prepareConnection(endpoint));
            endpoint.lastCall = call;
        }
        call.parts++;
        return call;
    }
}
