package pepperdock.service;

import pepperdock.core.Clock;
import pepperdock.core.Gatherer;

/** Runs a task once the first endpoint list has come, or after a timeout. On the loop's thread. */
final class InitialEndpointList {

    private final Clock clock;
    private boolean come;
    private Runnable waiting;

    /** Listens from now on; a list that comes before a task waits for it counts. */
    InitialEndpointList(Gatherer core, Clock clock) {
        this.clock = clock;
        core.addEndpointListListener(hosts -> come());
    }

    /** Runs the task once a list has come; else after {@code mostS} seconds, as the one that is known serves too. */
    void runWithin(double mostS, Runnable task) {
        waiting = task;
        if (come) {
            come();
        } else {
            clock.after(mostS, this::come);
        }
    }

    private void come() {
        come = true;
        Runnable task = waiting;
        waiting = null;
        if (task != null) {
            task.run();
        }
    }
}
