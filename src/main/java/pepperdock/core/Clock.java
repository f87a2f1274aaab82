package pepperdock.core;

/** Time and timers of the one thread that owns a gatherer's state. All methods are called on that thread. */
public interface Clock {

    /** The time, in seconds since the Unix epoch; it never goes back. */
    double now();

    /** Runs {@code task} on the owning thread after so many seconds. */
    Timer after(double seconds, Runnable task);

    /** A timer that was set. */
    interface Timer {
        /** Cancels the timer; harmless once it has expired. */
        void cancel();
    }
}
