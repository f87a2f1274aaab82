package pepperdock.core;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock moved by hand: for the warm-up, and wherever time must not depend on the machine. */
public final class ManualClock implements Clock {

    private record Due(double at, long no, Runnable task, boolean[] off) {}

    private final PriorityQueue<Due> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::no));
    private double now;
    private long count;

    public ManualClock(double now) {
        this.now = now;
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public Timer after(double seconds, Runnable task) {
        Due due = new Due(now + Math.max(0, seconds), count++, task, new boolean[1]);
        timers.add(due);
        return () -> due.off()[0] = true;
    }

    /** Moves on by so much and runs, in order, all that falls due meanwhile. */
    public void advance(double seconds) {
        double to = now + seconds;
        while (!timers.isEmpty() && timers.peek().at() <= to) {
            Due due = timers.poll();
            now = Math.max(now, due.at());
            if (!due.off()[0]) {
                due.task().run();
            }
        }
        now = to;
    }
}
