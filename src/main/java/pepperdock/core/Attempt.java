package pepperdock.core;

import pepperdock.scheduler.AttemptOutcome;

/** One attempt at a part. Its outcome is set once and stays. Owned by the gatherer's thread. */
public final class Attempt {

    /** Number among the attempts of its part, from 0 in the order of the decisions. */
    final int number;

    final String worker;
    /** When the scheduler decided on it, in seconds on the {@link Clock}; never after it was sent. */
    final double decidedAt;

    /** Runs at the deadline; null for an attempt that was refused at once. */
    Clock.Timer timeout;
    /** Whether the backend has it, and is to be told when it is cancelled. */
    boolean handedToBackend;
    /** Whether the last byte of its call was given to the operating system. */
    boolean written;

    AttemptOutcome outcome;
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

    /** The part that it is an attempt at. */
    public Part part() {
        return part;
    }

    /** Id of the worker that it is sent to. */
    public String worker() {
        return worker;
    }

    /** When it is abandoned, in seconds on the {@link Clock}. */
    public double deadline() {
        return deadline;
    }

    /**
     * Whether it may still be sent at {@code now}: it has not ended and, where an earlier attempt at its part may have been
     * executed, the worker still recognises a repeat. Checked again right before its first byte is written, as it may have
     * waited for a connection, or for capacity on one, since the decision.
     */
    public boolean mayStart(double now) {
        return outcome == null && now <= latestStartAt;
    }

    /** Whether it has ended in a way that proves that it was not executed and will not be. */
    boolean neverExecuted() {
        return outcome != null && outcome.neverExecuted();
    }

    /** Whether it has its outcome. */
    public boolean hasEnded() {
        return outcome != null;
    }
}
