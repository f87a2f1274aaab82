package pepperdock.transport;

/**
 * What one connection may use of the loop's time before others come first: a token bucket in seconds. Owned by the I/O
 * thread.
 */
final class InputShare {

    /** What a connection may use at once: several requests, also with code that is not compiled yet. */
    private static final double MAX_CREDIT_S = 0.002;
    /** Share of the loop's time that a connection may use all the time. */
    private static final double REFILL_SHARE = 0.02;
    /** Greatest debt: a connection that has stopped sending too much counts as ordinary again after a second. */
    private static final double MAX_DEBT_S = 0.02;

    /** Whether the connection waits in a queue of the scheduler. */
    boolean queued;

    private double creditS = MAX_CREDIT_S;
    private double updatedAtS;

    InputShare(double nowS) {
        updatedAtS = nowS;
    }

    /** Returns whether the connection has used less than its share lately. */
    boolean hasCredit(double nowS) {
        creditS = Math.min(MAX_CREDIT_S, creditS + (nowS - updatedAtS) * REFILL_SHARE);
        updatedAtS = nowS;
        return creditS > 0;
    }

    /** Charges time that the connection has used. */
    void charge(double costS) {
        creditS = Math.max(-MAX_DEBT_S, creditS - costS);
    }
}
