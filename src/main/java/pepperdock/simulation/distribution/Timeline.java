package pepperdock.simulation.distribution;

import java.util.PriorityQueue;

/** Simulated time: what is to happen, in order of time, and of asking where that is the same. */
final class Timeline {

    private record Planned(long at, long number, Runnable action) implements Comparable<Planned> {
        @Override
        public int compareTo(Planned other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Planned> planned = new PriorityQueue<>();
    private long now;
    private long number;

    /** Milliseconds since the beginning. */
    long now() {
        return now;
    }

    /** Has this happen then, or at once where that has passed. */
    void at(long millis, Runnable action) {
        planned.add(new Planned(Math.max(now, millis), number++, action));
    }

    void after(long millis, Runnable action) {
        at(now + millis, action);
    }

    /** Has this happen again and again, to the end. */
    void every(long millis, long first, Runnable action) {
        at(first, () -> {
            action.run();
            every(millis, now + millis, action);
        });
    }

    void runUntil(long end) {
        while (!planned.isEmpty() && planned.peek().at() <= end) {
            Planned next = planned.remove();
            now = next.at();
            next.action().run();
        }
        now = end;
    }
}
