package pepperdock.scheduler;

/**
 * The one way out for attempts: checks, at the moment of use, everything that allows an attempt, and counts it.
 *
 * <p>Rule: the query is open and its answer still worth something, the part is wanted and has attempts left, attempts run
 * beside each other only as {@link HedgingPolicy} allows and never at one endpoint, the repeat is safe and within budget
 * ({@link RetryPolicy}), and the endpoint is listed as healthy and has room in its slow start ({@link SlowStart}). Guards
 * against decisions on state that has changed since they were proposed.
 */
final class AttemptSender {

    private final SchedulerContext context;
    private final SchedulerActions actions;
    private final Policies policies;

    /** The policies that each attempt passes. */
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

    /** Whether an attempt at the part may be sent to the endpoint now. */
    boolean isAllowed(PartState part, EndpointRecord endpoint) {
        return isOpen(part)
                && endpoint.usable
                && context.nowS() < policies.deadlines.answerUntilS(part.query)
                && part.hasAttemptsLeft()
                && mayRunBeside(part, endpoint)
                && policies.retries.isRepeatable(part)
                && policies.slowStart.admits(endpoint)
                && (part.attempts.isEmpty() || policies.retries.allowsRetry(part, endpoint));
    }

    /** Sends an attempt if it is allowed, and tells whether it was. */
    boolean send(PartState part, EndpointRecord endpoint) {
        if (!isAllowed(part, endpoint)) {
            return false;
        }
        policies.retries.onSend(part);
        if (part.attempts.isEmpty()) {
            policies.outliers.onFirstAttempt();
        }
        policies.slowStart.onSend(endpoint, part.query.classIndex);
        AttemptState attempt = new AttemptState(part, endpoint, joinCall(endpoint));
        if (policies.outliers.failureRate(endpoint) > OutlierDetector.CLEARLY_WORSE_RATE
                && !policies.outliers.isLastResort(part, endpoint)) {
            attempt.trial = true;
            policies.outliers.onTrial(endpoint);
        }
        part.attempts.add(attempt);
        endpoint.outstanding.add(attempt);
        part.outstanding++;
        policies.limit.onSend();
        actions.sendAttempt(part.id, endpoint.id, policies.deadlines.answerUntilS(part.query));
        return true;
    }

    private static boolean isOpen(PartState part) {
        return !part.query.ended && !part.answered && part.wanted;
    }

    private boolean mayRunBeside(PartState part, EndpointRecord endpoint) {
        return part.outstanding == 0
                || policies.hedging.mayHedge(part)
                        && endpoint.outstanding.stream().noneMatch(attempt -> attempt.part == part);
    }

    /** The call that the next part sent to the endpoint travels in: that of this batch while it has room, or a new one. */
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
