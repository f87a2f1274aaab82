package pepperdock.simulation.distribution;

import java.util.PriorityQueue;

/** Simulated time: runs scheduled actions in order of time, and actions of the same time in the order of scheduling. */
final class Timeline {

    private record ScheduledAction(long at, long number, Runnable action) implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>();
    private long now;
    private long number;

    /** Returns the milliseconds since the start of the simulation. */
    long now() {
        return now;
    }

    /** Schedules an action at a time, or at once if that time has passed. */
    void at(long millis, Runnable action) {
        scheduled.add(new ScheduledAction(Math.max(now, millis), number++, action));
    }

    void after(long millis, Runnable action) {
        at(now + millis, action);
    }

    /** Schedules an action periodically until the end of the simulation. */
    void every(long millis, long first, Runnable action) {
        at(first, () -> {
            action.run();
            every(millis, now + millis, action);
        });
    }

    void runUntil(long end) {
        while (!scheduled.isEmpty() && scheduled.peek().at() <= end) {
            ScheduledAction next = scheduled.remove();
            now = next.at();
            next.action().run();
        }
        now = end;
    }
}
