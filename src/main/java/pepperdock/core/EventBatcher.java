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

    /** An event, and what to do if it can't be processed. */
    private record Event(Consumer<Scheduler> report, Runnable onFailure) {}

    private final Clock clock;
    private final SettingsHolder settings;
    private final InternalFailures failures;
    private Scheduler scheduler;
    private Runnable beforeBatch;
    private Runnable afterBatch;
    private List<Event> pendingEvents = new ArrayList<>();
    private boolean closeScheduled;
    private boolean reportingBatch;
    private double batchTime;
    private double lastCloseAt = Double.NEGATIVE_INFINITY;

    EventBatcher(Clock clock, SettingsHolder settings, InternalFailures failures) {
        this.clock = clock;
        this.settings = settings;
        this.failures = failures;
    }

    /**
     * Sets the scheduler that receives the batches; called before the first event. {@code beforeBatch} runs right before
     * each batch is reported and may still add events to it; {@code afterBatch} runs when its decisions are known.
     */
    void start(Scheduler scheduler, Runnable beforeBatch, Runnable afterBatch) {
        this.scheduler = scheduler;
        this.beforeBatch = beforeBatch;
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
        enqueueEvent(event, () -> {});
    }

    /** Like {@link #enqueueEvent(Consumer)}; {@code onFailure} runs if the scheduler fails to process the event. */
    void enqueueEvent(Consumer<Scheduler> event, Runnable onFailure) {
        pendingEvents.add(new Event(event, onFailure));
        if (!closeScheduled) {
            closeScheduled = true;
            double delayS = Math.max(0, lastCloseAt + settings.current().tickS() - clock.now());
            clock.after(delayS, this::closeBatch);
        }
    }

    private void closeBatch() {
        failures.run("the backend polled for retractions", beforeBatch);
        closeScheduled = false;
        reportingBatch = true;
        List<Event> events = pendingEvents;
        pendingEvents = new ArrayList<>();
        batchTime = clock.now();
        lastCloseAt = batchTime;
        deliver(target -> target.beginBatch(batchTime));
        for (Event event : events) {
            if (!deliver(event.report())) {
                event.onFailure().run();
            }
        }
        deliver(Scheduler::endBatch);
        reportingBatch = false;
        afterBatch.run();
    }

    /**
     * Passes an event to the scheduler and records a runtime exception that it throws, which must not keep the other
     * events of the batch from it. Returns whether there was none.
     */
    private boolean deliver(Consumer<Scheduler> event) {
        return failures.run("the scheduler processed an event of a batch", () -> event.accept(scheduler));
    }
}
