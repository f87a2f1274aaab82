package pepperdock.faultinjection.upgrade;

/** The clock of a run: seconds that no step of the wall clock changes. Stateless. */
public final class MonotonicClock {

    private static final double NANOS_PER_S = 1e9;

    private MonotonicClock() {}

    /** Returns the time in seconds since a fixed point of this process. */
    public static double now() {
        return System.nanoTime() / NANOS_PER_S;
    }
}
