package pepperdock.transport;

import java.util.ArrayList;
import java.util.List;
import pepperdock.core.Clock;

/**
 * Runs work that can wait, once at most between two polls of the sockets. Timers alone do not ensure that: those that
 * come due while others run are run before the sockets are polled, so that two of them that take longer than their delay
 * kept each other due, and sockets unread. Owned by the I/O thread.
 */
final class DeferredWork {

    /** The shortest delay that a timer of XNIO takes. */
    private static final double DELAY_S = 0.001;
    /** A timer that is less late than this has ended a wait in a poll. */
    private static final double MAX_LATENESS_S = 0.001;

    private final Clock clock;
    private List<Runnable> waiting = new ArrayList<>();
    private boolean running;
    private boolean polled;
    private double dueAtS;

    DeferredWork(Clock clock) {
        this.clock = clock;
    }

    /** Runs a task after the sockets have been polled. */
    void schedule(Runnable task) {
        waiting.add(task);
        if (!running && waiting.size() == 1) {
            startTimer();
        }
    }

    /** Called for each event of a socket: the sockets have been polled. */
    void onSocketEvent() {
        polled = true;
    }

    private void startTimer() {
        dueAtS = clock.now() + DELAY_S;
        clock.after(DELAY_S, this::run);
    }

    private void run() {
        if (!polled && clock.now() - dueAtS > MAX_LATENESS_S) {
            startTimer();
            return;
        }
        polled = false;
        List<Runnable> tasks = waiting;
        waiting = new ArrayList<>();
        running = true;
        tasks.forEach(EventLoop::guarded);
        running = false;
        // Only now: a delay that began during the tasks would be over by their end.
        if (!waiting.isEmpty()) {
            startTimer();
        }
    }
}
