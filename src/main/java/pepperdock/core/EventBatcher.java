package pepperdock.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pepperdock.scheduler.Scheduler;

/**
 * Reports events to the scheduler in batches, in the order in which they happened. A batch closes at the earliest one
 * tick after the previous one, so that under load many events share the fixed cost of a batch. Owned by the gatherer's
 * thread.
 */
final class EventBatcher {

    private static final System.Logger LOG = System.getLogger("pepperdock.core");

    private final Clock clock;
    private final SettingsHolder settings;
    private Scheduler scheduler;
    private Runnable afterBatch;
    private List<Consumer<Scheduler>> pendingEvents = new ArrayList<>();
    private boolean closeScheduled;
    private boolean reportingBatch;
    private double batchTime;
    private double lastCloseAt = Double.NEGATIVE_INFINITY;

    EventBatcher(Clock clock, SettingsHolder settings) {
        this.clock = clock;
        this.settings = settings;
    }

    /**
     * Sets the scheduler that receives the batches; called before the first event. {@code afterBatch} runs after each
     * batch, when its decisions are known.
     */
    void start(Scheduler scheduler, Runnable afterBatch) {
        this.scheduler = scheduler;
        this.afterBatch = afterBatch;
    }

    /** Returns whether a batch is being reported, in which case the scheduler may be in the middle of a decision. */
    boolean isReportingBatch() {
        return reportingBatch;
    }

    /** Returns the time of the current or the last batch, in seconds on the clock. */
    double batchTime() {
        return batchTime;
    }

    /**
     * Adds an event to the next batch; an event that is enqueued while a batch is being reported goes into the
     * following batch.
     */
    void enqueueEvent(Consumer<Scheduler> event) {
        pendingEvents.add(event);
        if (!closeScheduled) {
            closeScheduled = true;
            double delayS = Math.max(0, lastCloseAt + settings.current().tickS() - clock.now());
            clock.after(delayS, this::closeBatch);
        }
    }

    private void closeBatch() {
        closeScheduled = false;
        reportingBatch = true;
        List<Consumer<Scheduler>> events = pendingEvents;
        pendingEvents = new ArrayList<>();
        batchTime = clock.now();
        lastCloseAt = batchTime;
        deliver(target -> target.beginBatch(batchTime));
        events.forEach(this::deliver);
        deliver(Scheduler::endBatch);
        reportingBatch = false;
        afterBatch.run();
    }

    /**
     * Passes an event to the scheduler and logs a runtime exception that it throws. It must not end the thread; the
     * deadline guards answer the queries that are left undecided.
     */
    private void deliver(Consumer<Scheduler> event) {
        try {
            event.accept(scheduler);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "scheduler failed to process an event of a batch", e);
        }
    }
}
