package pepperdock.simulator;

import java.io.UncheckedIOException;
import java.util.function.Consumer;
import pepperdock.scheduler.Scheduler;
import pepperdock.scheduler.SchedulerActions;
import pepperdock.scheduler.SchedulerSettings;

/**
 * One gatherer of the simulated fleet: runs its scheduler and writes its decisions to the simulator. Not thread-safe.
 */
final class SimulatedGatherer implements SchedulerActions {

    private final SimulatorProtocol protocol;
    private final int number;
    private Scheduler scheduler;
    /** Whether the current batch has begun for this gatherer; its first event in the batch begins it. */
    private boolean inBatch;

    SimulatedGatherer(SimulatorProtocol protocol, int number) {
        this.protocol = protocol;
        this.number = number;
    }

    /** Creates the scheduler; must be called before the first event. */
    void start(SchedulerSettings settings, long seed) {
        scheduler = Scheduler.create(settings, seed, this);
    }

    boolean isInBatch() {
        return inBatch;
    }

    void beginBatch(double now) {
        inBatch = true;
        deliver(target -> target.beginBatch(now));
    }

    void endBatch() {
        deliver(Scheduler::endBatch);
        inBatch = false;
    }

    /** Delivers an event; an exception of the scheduler is reported for this gatherer only. */
    void deliver(Consumer<Scheduler> event) {
        try {
            event.accept(scheduler);
        } catch (UncheckedIOException e) {
            throw e;
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            protocol.writeFault(number, e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    @Override
    public void sendAttempt(long partId, String endpoint, double until) {
        protocol.writeSendAttempt(number, partId, endpoint, until);
    }

    @Override
    public void cancelAttempt(long partId, int attempt) {
        protocol.writeCancelAttempt(number, partId, attempt);
    }

    @Override
    public void answerQuery(long queryId, boolean complete) {
        protocol.writeAnswerQuery(number, queryId, complete);
    }

    @Override
    public void rejectQuery(long queryId, double retryAfterS) {
        protocol.writeRejectQuery(number, queryId, retryAfterS);
    }

    @Override
    public void failQuery(long queryId) {
        protocol.writeFailQuery(number, queryId);
    }

    @Override
    public void checkHealth(String endpoint) {
        protocol.writeCheckHealth(number, endpoint);
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        protocol.writeCloseIdleConnections(number, endpoint);
    }

    @Override
    public void setTimer(double afterS, String token) {
        protocol.writeSetTimer(number, afterS, token);
    }

    @Override
    public void watchEndpointList() {
        protocol.writeWatchEndpointList(number);
    }

    @Override
    public void log(String text) {
        protocol.writeLog(number, text);
    }
}
