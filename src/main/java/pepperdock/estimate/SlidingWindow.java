package pepperdock.estimate;

import java.util.ArrayDeque;

/** The times of recent events, oldest first. */
public final class SlidingWindow {

    private final ArrayDeque<Double> times = new ArrayDeque<>();

    /** Adds an event; no event may be older than one added before it. */
    public void add(double now) {
        times.addLast(now);
    }

    /** Removes the events before {@code time} and returns the number left. */
    public int countSince(double time) {
        while (!times.isEmpty() && times.peekFirst() < time) {
            times.removeFirst();
        }
        return times.size();
    }
}
