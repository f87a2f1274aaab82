package pepperdock.scheduler;

/** A call: the parts that are sent together to one endpoint within one batch. Plain data. */
final class CallState {

    /** When the call was sent, in seconds on the batch clock. */
    final double sentAtS;

    /** How long its connection had been idle, in seconds; 0 if the connection was in use or is new. */
    final double idleS;

    /** Number of parts in the call. */
    int parts;

    /** Whether {@link IdleConnectionPolicy} has counted the result of this call on an idle connection. */
    boolean idleResultCounted;

    CallState(double sentAtS, double idleS) {
        this.sentAtS = sentAtS;
        this.idleS = idleS;
    }
}
