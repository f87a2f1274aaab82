package pepperdock.service;

import pepperdock.core.Clock;
import pepperdock.core.Gatherer;

/** Whether a node list has come since the start, and what waits for it. All on the loop's thread. */
final class FirstList {

    private final Clock clock;
    private boolean come;
    private Runnable waiting;

    /** Listens from now on; a list that comes before anything waits for it counts. */
    FirstList(Gatherer core, Clock clock) {
        this.clock = clock;
        core.addEndpointListListener(hosts -> come());
    }

    /** Runs the task once the list has come; else after {@code mostS} seconds, as what is known serves too. */
    void within(double mostS, Runnable task) {
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
