package pepperdock.estimate;

/** A count whose events lose weight with age, by a factor of e per time constant. */
public final class DecayingCount {

    private double count;
    private double updatedAt;

    /** Adds events at the time {@code now}; the time constant is in seconds. */
    public void add(double events, double now, double timeConstantS) {
        count = at(now, timeConstantS) + events;
        updatedAt = now;
    }

    /** Returns the count at the time {@code now}. */
    public double at(double now, double timeConstantS) {
        return count * Math.exp((updatedAt - now) / timeConstantS);
    }

    /** Returns the count at the time of the last event. */
    public double latest() {
        return count;
    }

    /** Returns when the last event was added, 0 before any. */
    public double updatedAt() {
        return updatedAt;
    }
}
