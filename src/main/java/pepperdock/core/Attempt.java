package pepperdock.core;

import pepperdock.aggregator.Aggregator.Outcome;

/** One attempt at a part; its outcome is set once and stays. */
public final class Attempt {

    final int no;
    final String worker;
    final double sentAt;
    Clock.Timer timeout;
    boolean passedOn;
    /** Its last byte was given to the system. */
    boolean written;

    Outcome outcome;
    private final Part part;
    private final double until;
    private final double startBy;

    Attempt(Part part, int no, String worker, double sentAt, double until, double startBy) {
        this.part = part;
        this.no = no;
        this.worker = worker;
        this.sentAt = sentAt;
        this.until = until;
        this.startBy = startBy;
    }

    public Part part() {
        return part;
    }

    public String worker() {
        return worker;
    }

    /** When it is given up, on the {@link Clock}'s time. */
    public double until() {
        return until;
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
    boolean neverRan() {
        return outcome != null && outcome.neverRan();
    }

    public boolean over() {
        return outcome != null;
    }
}
