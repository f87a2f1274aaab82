package pepperdock.service;

import pepperdock.core.Clock;
import pepperdock.core.Gatherer;

/** Runs a task once the first endpoint list has been received, or after a timeout. Used on the loop's thread. */
final class EndpointListWaiter {

    private final Clock clock;
    private boolean received;
    private Runnable waitingTask;

    /** Starts listening. A list that is received before {@link #runWithin} counts too. */
    EndpointListWaiter(Gatherer core, Clock clock) {
        this.clock = clock;
        core.addEndpointListListener(hosts -> {
            received = true;
            runTask();
        });
    }

    /**
     * Runs the task once a list is received, or after {@code timeoutS} seconds, since the known list can be used too.
     */
    void runWithin(double timeoutS, Runnable task) {
        waitingTask = task;
        if (received) {
            runTask();
        } else {
            clock.after(timeoutS, this::runTask);
        }
    }

    /** Runs the task now if it still waits: there is a reason not to wait any longer. */
    void stopWaiting() {
        runTask();
    }

    /** Returns whether a list has been received since the start. */
    boolean hasReceived() {
        return received;
    }

    private void runTask() {
        Runnable task = waitingTask;
        waitingTask = null;
        if (task != null) {
            task.run();
        }
    }
}
