package pepperdock.core;

/** Time and timers of the thread that owns a gatherer's state. All methods must be called on that thread. */
public interface Clock {

    /** Returns the time, in seconds since the Unix epoch; it never goes backwards. */
    double now();

    /** Schedules {@code task} to run on the owning thread after {@code seconds}. */
    Timer after(double seconds, Runnable task);

    /** A scheduled task that can be cancelled. */
    interface Timer {
        /** Cancels the timer; has no effect if it has expired. */
        void cancel();
    }
}
