package pepperdock.scheduler;

/** The parts sent to one endpoint within one batch that travel together in one call. Plain data. */
final class CallState {

    /** When the call was sent, in seconds on the batch clock. */
    final double sentAtS;

    /** How long its connection had been idle, in seconds; 0 where it was in use or is new. */
    final double idleS;

    /** Parts in the call. */
    int parts;

    /** Its result after idleness has been counted in {@link IdleConnectionPolicy}. */
    boolean idleReported;

    CallState(double sentAtS, double idleS) {
        this.sentAtS = sentAtS;
        this.idleS = idleS;
    }
}
