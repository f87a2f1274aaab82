package pepperdock.core;

import pepperdock.scheduler.AttemptOutcome;

/** One attempt at a part; its outcome is set once and stays. */
public final class Attempt {

    final int no;
    final String worker;
    final double sentAt;
    Clock.Timer timeout;
    boolean passedOn;
    /** Its last byte was given to the system. */
    boolean written;

    AttemptOutcome outcome;
    private final Part part;
    private final double deadline;
    private final double startBy;

    Attempt(Part part, int no, String worker, double sentAt, double until, double startBy) {
        this.part = part;
        this.no = no;
        this.worker = worker;
        this.sentAt = sentAt;
        this.deadline = until;
        this.startBy = startBy;
    }

    public Part part() {
        return part;
    }

    public String worker() {
        return worker;
    }

    /** When it is given up, on the {@link Clock}'s time. */
    public double deadline() {
        return deadline;
    }

    /**
     * Whether it may still go out now: not over, and, where an earlier attempt of its part may have run, still within the
     * time in which a repeat is recognised. Asked again right before its first byte is written, as it may have waited
     * since it was decided on: for a connection, or for room on one.
     */
    public boolean mayStart(double now) {
        return outcome == null && now <= startBy;
    }

    /** Whether it is proven that it has not run and won't. */
    boolean neverExecuted() {
        return outcome != null && outcome.neverExecuted();
    }

    public boolean hasEnded() {
        return outcome != null;
    }
}
