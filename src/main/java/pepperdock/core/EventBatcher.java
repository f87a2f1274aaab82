package pepperdock.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pepperdock.scheduler.Scheduler;

/**
 * Reports events to the scheduler in batches, in the order in which they happened. A batch closes at the earliest one tick
 * after the last one, so that under load many events share the work of a batch. Owned by the gatherer's thread.
 */
final class EventBatcher {

    private static final System.Logger LOG = System.getLogger("pepperdock.core");

    private final Clock clock;
    private final SettingsHolder settings;
    private Scheduler scheduler;
    private Runnable afterBatch;
    private List<Consumer<Scheduler>> pendingEvents = new ArrayList<>();
    private boolean closeScheduled;
    private boolean closing;
    private double batchTime;
    private double lastCloseAt = Double.NEGATIVE_INFINITY;

    EventBatcher(Clock clock, SettingsHolder settings) {
        this.clock = clock;
        this.settings = settings;
    }

    /** Sets where batches go, before the first event; {@code afterBatch} runs after each, when its decisions are known. */
    void start(Scheduler scheduler, Runnable afterBatch) {
        this.scheduler = scheduler;
        this.afterBatch = afterBatch;
    }

    /** Whether a batch is being reported, so that the scheduler may be in the middle of a decision. */
    boolean isClosing() {
        return closing;
    }

    /** Time of the current or last batch, in seconds on the clock. */
    double batchTime() {
        return batchTime;
    }

    /** Keeps an event for the next batch; one that is enqueued while a batch is reported belongs to the one after. */
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
        closing = true;
        List<Consumer<Scheduler>> events = pendingEvents;
        pendingEvents = new ArrayList<>();
        batchTime = clock.now();
        lastCloseAt = batchTime;
        deliver(target -> target.beginBatch(batchTime));
        events.forEach(this::deliver);
        deliver(Scheduler::endBatch);
        closing = false;
        afterBatch.run();
    }

    /** A decision that fails must not end the thread; the deadline guards answer the queries that it leaves undecided. */
    private void deliver(Consumer<Scheduler> event) {
        try {
            event.accept(scheduler);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "decision failed", e);
        }
    }
}
