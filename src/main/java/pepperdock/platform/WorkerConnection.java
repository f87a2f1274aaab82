package pepperdock.platform;

import java.lang.ref.WeakReference;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import pepperdock.codec.frame.Frame;
import pepperdock.codec.frame.FrameException;
import pepperdock.core.Attempt;
import pepperdock.platform.InFlightAttempts.InFlight;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.LoadReport;
import pepperdock.transport.Connection;
import pepperdock.transport.ConnectionHandler;

/**
 * A connection to a worker. Calls are pipelined on it: many may be in flight, and results arrive in any order.
 *
 * <p>Opened and used by a {@link WorkerConnectionPool}; owned by the loop's thread. Each attempt that is passed to
 * {@link #send} ends with one outcome that is reported to the core, unless {@link #cancel} comes first. If the worker
 * violates the protocol, the connection is closed, because nothing that follows can be trusted; the attempts in flight
 * may have run.
 */
final class WorkerConnection implements ConnectionHandler {

    /**
     * The connection is closed after this share of the worker's own idle limit, so that no call is sent while the
     * worker closes it.
     */
    private static final double IDLE_TIMEOUT_SHARE = 0.8;

    private final WorkerConnectionPool pool;
    private final WorkerContext context;
    private final Connection connection;
    private final InFlightAttempts inFlight = new InFlightAttempts();
    private final WorkerFrameReader reader = new WorkerFrameReader(inFlight::isKnown);
    /**
     * Calls that wait until all earlier ones have been passed to the kernel; each is checked again before it is
     * written.
     */
    private final ArrayDeque<List<Attempt>> pendingCalls = new ArrayDeque<>();
    /** Attempts whose frame has not been completely passed to the kernel yet, in the order of their frames. */
    private final ArrayDeque<InFlight> unflushed = new ArrayDeque<>();

    private final PendingHealthChecks healthChecks;
    private final IdleTimeout idleTimeout;
    private final IncompleteFrameTimeout frameTimeout;
    /**
     * The attempt whose result was the last frame, null if that was another frame. The reference is weak, so that an
     * idle connection keeps no query in memory.
     */
    private WeakReference<Attempt> lastResult;
    /** The last time at which a frame arrived, or a call was written while nothing was in flight. */
    private double lastProgressAt;

    WorkerConnection(WorkerConnectionPool pool, WorkerContext context, Connection connection) {
        this.pool = pool;
        this.context = context;
        this.connection = connection;
        healthChecks = new PendingHealthChecks(context);
        double idleS = context.settings().idleTimeoutS() * IDLE_TIMEOUT_SHARE;
        idleTimeout = new IdleTimeout(context.loop(), idleS, this::closeIfIdle, connection::isClosed);
        frameTimeout =
                new IncompleteFrameTimeout(context.loop(), context.settings().connectTimeoutS(), this::onFrameTimeout);
        connection.start(this);
    }

    /**
     * Returns whether results are overdue, or one has stopped in the middle. A network path may fail silently under an
     * open connection: new calls are then sent on a new connection, which either works or shows at once that the worker
     * is unreachable.
     */
    boolean isUnresponsive() {
        return frameTimeout.isStalled()
                || !inFlight.isEmpty()
                        && context.loop().now() - lastProgressAt
                                > context.settings().connectTimeoutS();
    }

    /** Returns the number of parts that are in flight, or pending until they can be written. */
    int unfinishedPartCount() {
        return inFlight.size() + pendingCalls.stream().mapToInt(List::size).sum();
    }

    /** Returns whether a result on this connection could be mistaken for the result of one of these attempts. */
    boolean hasIdConflict(List<Attempt> call) {
        for (Attempt attempt : call) {
            if (inFlight.hasIdConflict(attempt)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Writes a call, or keeps it pending while the kernel does not accept the bytes of earlier ones. A pending call can
     * still be withdrawn when the worker begins to drain or the query ends; a call in the connection's buffer could
     * not.
     */
    void send(List<Attempt> call) {
        if (connection.hasUnwrittenBytes()) {
            pendingCalls.add(new ArrayList<>(call));
        } else {
            write(call);
        }
    }

    @Override
    public void onFlushed(Connection flushed) {
        reportWritten();
        while (!pendingCalls.isEmpty() && !connection.hasUnwrittenBytes() && !connection.isClosed()) {
            List<Attempt> startable = pool.retainStartable(pendingCalls.removeFirst());
            if (!startable.isEmpty()) {
                write(startable);
            }
        }
    }

    /** Ends the pending calls, which have not run and never will. */
    void endPendingCalls(AttemptOutcome outcome) {
        List<List<Attempt>> calls = List.copyOf(pendingCalls);
        pendingCalls.clear();
        calls.forEach(call -> context.endAttempts(call, outcome));
    }

    private void write(List<Attempt> call) {
        List<WorkerProtocol.CallPart> parts = new ArrayList<>();
        for (Attempt attempt : call) {
            parts.add(callPart(attempt));
        }
        if (inFlight.isEmpty()) {
            lastProgressAt = context.loop().now();
        }
        byte[] frame = WorkerProtocol.encodeCall(parts);
        long frameEndOffset = connection.bytesQueued() + frame.length;
        for (Attempt attempt : call) {
            InFlight entry = new InFlight(attempt, frameEndOffset);
            inFlight.add(entry);
            unflushed.add(entry);
        }
        idleTimeout.onUse();
        connection.write(frame);
        reportWritten();
    }

    private WorkerProtocol.CallPart callPart(Attempt attempt) {
        double remainingMs = (attempt.deadline() - context.loop().now()) * 1e3;
        return new WorkerProtocol.CallPart(
                WorkerProtocol.wireId(attempt),
                attempt.part().shard(),
                Math.max(1, (long) Math.floor(remainingMs)),
                attempt.part().query().request().idempotencyKey(),
                attempt.part().query().request().body());
    }

    /** Reports the attempts whose frame has been completely passed to the kernel. */
    private void reportWritten() {
        while (!unflushed.isEmpty() && unflushed.peekFirst().frameEndOffset() <= connection.bytesWritten()) {
            context.core().onAttemptWritten(unflushed.removeFirst().attempt());
        }
    }

    /**
     * Cancels an attempt and returns whether it was on this connection; a result that still arrives for it is ignored.
     */
    boolean cancel(Attempt attempt) {
        String id = WorkerProtocol.wireId(attempt);
        if (!inFlight.contains(id, attempt)) {
            return removePending(attempt);
        }
        inFlight.end(id);
        idleTimeout.onUse();
        connection.write(WorkerProtocol.encodeCancel(id));
        closeIfDraining();
        return true;
    }

    private boolean removePending(Attempt attempt) {
        boolean removed = pendingCalls.stream().anyMatch(call -> call.remove(attempt));
        pendingCalls.removeIf(List::isEmpty);
        return removed;
    }

    /** Sends a health check. */
    void checkHealth() {
        healthChecks.add();
        idleTimeout.onUse();
        connection.write(WorkerProtocol.encodeHealthCheck());
    }

    /** Closes the connection if nothing is in flight or pending on it. */
    void closeIfIdle() {
        if (inFlight.isEmpty() && healthChecks.isEmpty() && pendingCalls.isEmpty()) {
            connection.close();
            release();
        }
    }

    private void closeIfDraining() {
        if (!pool.isAcceptingCalls() && !connection.isClosed()) {
            closeIfIdle();
        }
    }

    /** Closes the connection at once; attempts in flight end as after a reset. */
    void abort() {
        connection.close();
        onClosed(connection);
    }

    /**
     * Releases the connection and its timers. No timer may refer to a closed connection: a worker that closes after
     * each result would otherwise leave hundreds of connections in memory.
     */
    private void release() {
        pool.onConnectionClosed(this);
        idleTimeout.cancel();
        frameTimeout.cancel();
    }

    /**
     * Reads the input that has arrived behind results by now; then closes the connection if it is no longer needed.
     * Must not be called while a batch is being reported, as it may retract results.
     */
    void pollBehindResults() {
        connection.readNow();
        closeIfDraining();
    }

    @Override
    public void onBytes(Connection source) {
        try {
            while (!source.isClosed() && source.readStart() < source.readEnd()) {
                int used = reader.feed(source.bytes(), source.readStart(), source.readEnd());
                if (used == 0) {
                    frameTimeout.onIncompleteFrame(source.readEnd() - source.readStart());
                    return;
                }
                frameTimeout.cancel();
                source.consume(used);
                idleTimeout.onUse();
                lastProgressAt = context.loop().now();
                lastResult = null;
                onFrame(reader.take());
            }
        } catch (FrameException e) {
            retractLastResultIfDisputed(source);
            onProtocolViolation(e.getMessage());
        }
    }

    /**
     * Retracts the result of the last frame if the invalid bytes behind it may belong to it. Its length is then too
     * small, or noise follows a good result: the two can't be told apart.
     */
    private void retractLastResultIfDisputed(Connection source) {
        Attempt attempt = lastResult == null ? null : lastResult.get();
        if (attempt != null
                && WorkerFrameReader.isLastFrameDisputed(source.bytes(), source.readStart(), source.readEnd())) {
            context.log().log(
                    System.Logger.Level.WARNING,
                    () -> "retracting the result " + WorkerProtocol.wireId(attempt) + " of worker " + context.workerId()
                            + ": what follows it may be its rest");
            context.core().retractResult(attempt);
        }
    }

    /** Ends the connection if the frame is still incomplete once all input that has arrived is read. */
    private void onFrameTimeout() {
        connection.readNow();
        if (!connection.isClosed() && frameTimeout.isExpired()) {
            onProtocolViolation("frame was not completed in time");
        }
    }

    private void onProtocolViolation(String reason) {
        context.log().log(
                System.Logger.Level.WARNING,
                () -> "closing the connection after a malformed frame from worker " + context.workerId() + ": "
                        + reason);
        abort();
    }

    private void onFrame(Frame frame) throws FrameException {
        switch (frame.type()) {
            case WorkerProtocol.RESULT -> onResult(WorkerProtocol.parseResult(frame.payload()));
            case WorkerProtocol.HEALTH_CHECK ->
                healthChecks.onAnswer(WorkerProtocol.parseHealthCheckAnswer(frame.payload()));
            case WorkerProtocol.PROTOCOL_ERROR -> onRejectedFrame(new String(frame.payload(), StandardCharsets.UTF_8));
            default -> throw new FrameException("unexpected frame type " + frame.type());
        }
    }

    /**
     * Handles the report that the worker could not use a frame from this gatherer; the worker closes the connection.
     */
    private void onRejectedFrame(String reason) {
        context.log().log(
                System.Logger.Level.WARNING, () -> "worker " + context.workerId() + " rejected a frame: " + reason);
        abort();
    }

    private void onResult(WorkerProtocol.Result result) throws FrameException {
        WorkerProtocol.ResultHeader header = result.header();
        reader.checkId(header);
        if (header.outcome() == AttemptOutcome.OK && !WorkerProtocol.isUtf8(result.value())) {
            throw new FrameException("result value is not valid UTF-8");
        }
        InFlight ended = inFlight.end(header.id());
        if (ended != null) {
            List<String> figures = context.settings().scheduler().reportNames();
            LoadReport report = LoadReport.of(LoadReportParser.parse(header.loadReport(), figures));
            lastResult = new WeakReference<>(ended.attempt());
            context.unreportedResults().add(this);
            context.core().onAttemptEnded(ended.attempt(), header.outcome(), report, result.value());
        }
    }

    /** Ends all attempts: those whose frame was not completely written never ran, the others may have run. */
    @Override
    public void onClosed(Connection source) {
        release();
        reportWritten();
        List<InFlight> broken = inFlight.removeAll();
        healthChecks.onConnectionReset();
        endPendingCalls(AttemptOutcome.CONNECT_FAILED);
        for (InFlight entry : broken) {
            boolean written = source.bytesWritten() >= entry.frameEndOffset();
            AttemptOutcome outcome = written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
            context.core().onAttemptEnded(entry.attempt(), outcome, LoadReport.NONE, null);
        }
    }
}
