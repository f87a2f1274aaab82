package pepperdock.scheduler;

import pepperdock.estimate.IdleLimit;

/**
 * Closes idle connections that have probably been dropped on the network path.
 *
 * <p>Before a call on an idle connection, the connection is closed if the endpoint's last call got no answer, or if it
 * was idle for longer than the {@link IdleLimit} learnt from earlier calls on idle connections. A call that gets no
 * answer on a connection idle for longer than that limit is not counted against its endpoint. Inputs are idle times and
 * outcomes, in seconds. The reason is that firewalls and address translation drop idle connections without a reset.
 *
 * <p>This guards against ejecting healthy endpoints because of dropped connections. It costs a handshake and does harm
 * where new connections fail; such a failure therefore resets the limit.
 */
final class IdleConnectionPolicy {

    private final SchedulerContext context;
    private final SchedulerActions actions;
    private final IdleLimit idleLimit = new IdleLimit();

    IdleConnectionPolicy(SchedulerContext context, SchedulerActions actions) {
        this.context = context;
        this.actions = actions;
    }

    /**
     * Prepares the connection of the next call to an endpoint, and closes idle connections that are not trusted.
     *
     * @return seconds that the connection has been idle, 0 if it is in use or will be new
     */
    double prepareConnection(EndpointRecord endpoint) {
        boolean idle = endpoint.outstanding.size() == 0 && endpoint.lastUsedAtS > Double.NEGATIVE_INFINITY;
        double idleS = idle ? context.nowS() - endpoint.lastUsedAtS : 0;
        if (idleS > 0 && (endpoint.lastCallUnanswered || idleS > limitS())) {
            endpoint.lastCallUnanswered = false;
            actions.closeIdleConnections(endpoint.id);
            return 0;
        }
        return idleS;
    }

    /** Counts once whether a call on an idle connection was answered. */
    void countResult(AttemptState attempt, boolean unanswered) {
        CallState call = attempt.call;
        if (call.idleS > 0 && !call.idleResultCounted && (!unanswered || noAnswerSinceSend(attempt))) {
            call.idleResultCounted = true;
            idleLimit.recordCall(call.idleS, unanswered, context.nowS(), context.shortestObjectiveS());
        }
    }

    /**
     * Returns whether the attempt is unanswered because its idle connection was dropped, and not because of its
     * endpoint.
     */
    boolean isConnectionDropped(AttemptState attempt) {
        return attempt.call.idleS > limitS() && noAnswerSinceSend(attempt);
    }

    /** Resets the limit, because a new connection has failed and closing idle ones would do harm. */
    void onConnectFailed() {
        idleLimit.reset();
    }

    private double limitS() {
        return idleLimit.limitS(context.nowS(), context.shortestObjectiveS());
    }

    private static boolean noAnswerSinceSend(AttemptState attempt) {
        return attempt.endpoint.lastOkAtS < attempt.sentAtS;
    }
}
