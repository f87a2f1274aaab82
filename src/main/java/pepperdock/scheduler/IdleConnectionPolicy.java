package pepperdock.scheduler;

import pepperdock.estimate.IdleLimit;

/**
 * Closes idle connections that are likely to have been dropped on the network path.
 *
 * <p>Rule: before a call on an idle connection, the connection is closed if the endpoint's last call stayed unanswered, or
 * if the connection was idle for longer than the {@link IdleLimit} learnt from calls after idleness. A call that stays
 * unanswered beyond that limit is not counted against its endpoint. Inputs: idle times and outcomes, in seconds. Reason:
 * firewalls and address translation forget idle connections without a reset. Guards against ejecting healthy endpoints for
 * that; costs a handshake, and harms where new connections fail, which ends the mistrust.
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
     * Prepares the connection of the next call to an endpoint, closing idle ones that are not trusted.
     *
     * @return seconds that the connection has been idle, 0 where it is in use or will be new
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
    void observe(AttemptState attempt, boolean unanswered) {
        CallState call = attempt.call;
        if (call.idleS > 0 && !call.idleReported && (!unanswered || noAnswerSinceSend(attempt))) {
            call.idleReported = true;
            idleLimit.add(call.idleS, unanswered, context.nowS(), context.shortestObjectiveS());
        }
    }

    /** Whether the attempt is unanswered because its idle connection was dropped, and not by the endpoint's fault. */
    boolean isConnectionDropped(AttemptState attempt) {
        return attempt.call.idleS > limitS() && noAnswerSinceSend(attempt);
    }

    /** A new connection has failed: closing idle ones would harm. */
    void onConnectFailed() {
        idleLimit.forget();
    }

    private double limitS() {
        return idleLimit.seconds(context.nowS(), context.shortestObjectiveS());
    }

    private static boolean noAnswerSinceSend(AttemptState attempt) {
        return attempt.endpoint.lastOkAtS < attempt.sentAtS;
    }
}
