package pepperdock.core;

import pepperdock.scheduler.AttemptOutcome;

/**
 * One attempt at a part. Its outcome is set once and never changes, except that a worker's result may be retracted.
 * Owned by the gatherer's thread.
 */
public final class Attempt {

    /** Index among the attempts of its part, from 0, in the order of the decisions. */
    final int number;

    final String worker;
    /** Time of the scheduler's decision, in seconds on the {@link Clock}; never later than the sending. */
    final double decidedAt;

    /** Timer that expires at the deadline; null for an attempt that was refused at once. */
    Clock.Timer timeout;
    /** Whether the attempt was handed to the backend, which then has to be told of a cancellation. */
    boolean handedToBackend;
    /** Whether the last byte of the attempt's call was handed to the operating system. */
    boolean written;

    AttemptOutcome outcome;
    /** Whether the outcome was reported to the scheduler. */
    boolean reported;

    private final Part part;
    private final double deadline;
    private final double latestStartAt;

    Attempt(Part part, int number, String worker, double decidedAt, double deadline, double latestStartAt) {
        this.part = part;
        this.number = number;
        this.worker = worker;
        this.decidedAt = decidedAt;
        this.deadline = deadline;
        this.latestStartAt = latestStartAt;
    }

    /** Returns the part that this is an attempt at. */
    public Part part() {
        return part;
    }

    /** Returns the id of the worker that the attempt is sent to. */
    public String worker() {
        return worker;
    }

    /** Returns the time at which the attempt is abandoned, in seconds on the {@link Clock}. */
    public double deadline() {
        return deadline;
    }

    /**
     * Returns whether the attempt may still be sent at {@code now}: it has not ended and, if an earlier attempt at its
     * part may have been executed, the worker still recognises a repeat. Checked again right before the first byte is
     * written, because the attempt may have waited for a connection, or for capacity on one, since the decision.
     */
    public boolean mayStart(double now) {
        return outcome == null && now <= latestStartAt;
    }

    /** Returns whether the attempt has ended with an outcome which proves that it was not and will not be executed. */
    boolean neverExecuted() {
        return outcome != null && outcome.neverExecuted();
    }

    /** Returns whether the attempt has an outcome. */
    public boolean hasEnded() {
        return outcome != null;
    }
}
