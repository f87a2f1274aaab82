package pepperdock.core;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock that is advanced explicitly, for the warm-up, simulations and tests, where time must not depend on the
 * machine. Timers run within {@link #advance}, on its caller's thread.
 */
public final class ManualClock implements Clock {

    private record ScheduledTask(double dueAt, long sequenceNumber, Runnable task, boolean[] cancelled) {}

    private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledTask::dueAt).thenComparingLong(ScheduledTask::sequenceNumber));
    private double now;
    private long nextSequenceNumber;

    /** Creates a clock whose time is {@code now}, in seconds, until it is advanced. */
    public ManualClock(double now) {
        this.now = now;
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public Timer after(double seconds, Runnable task) {
        ScheduledTask scheduled =
                new ScheduledTask(now + Math.max(0, seconds), nextSequenceNumber++, task, new boolean[1]);
        timers.add(scheduled);
        return () -> scheduled.cancelled()[0] = true;
    }

    /** Advances the clock by {@code seconds} and runs, in order, all timers that expire in that time. */
    public void advance(double seconds) {
        double end = now + seconds;
        while (!timers.isEmpty() && timers.peek().dueAt() <= end) {
            ScheduledTask scheduled = timers.poll();
            now = Math.max(now, scheduled.dueAt());
            if (!scheduled.cancelled()[0]) {
                scheduled.task().run();
            }
        }
        now = end;
    }
}
