package pepperdock.estimate;

/** A count in which each event weighs less the longer ago it was, by a factor of e for each time constant. */
public final class DecayingCount {

    private double count;
    private double updatedAt;

    /** Adds events at the time {@code now}; the time constant is in seconds. */
    public void add(double events, double now, double timeConstantS) {
        count = at(now, timeConstantS) + events;
        updatedAt = now;
    }

    /** The count as it weighs at the time {@code now}. */
    public double at(double now, double timeConstantS) {
        return count * Math.exp((updatedAt - now) / timeConstantS);
    }

    /** The count as it weighed at the last event. */
    public double latest() {
        return count;
    }

    /** When the last event was added, 0 before any. */
    public double updatedAt() {
        return updatedAt;
    }
}
