package pepperdock.platform;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pepperdock.codec.frame.Frame;
import pepperdock.codec.frame.FrameException;
import pepperdock.codec.frame.FrameParser;
import pepperdock.codec.frame.Frames;
import pepperdock.core.Attempt;
import pepperdock.core.Clock;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.LoadReport;
import pepperdock.transport.Connection;

/** One connection to a worker and the attempts that are out on it, by the id they bear on the wire. */
final class WorkerConnection implements Connection.Handler {

    /** A value is at most what an answer may hold, 64 KiB; its line comes before it. */
    private static final int FRAME_MOST = (1 << 16) + 2048;
    /** Ids remembered after their attempt has ended: their answers may come late, or twice, and are not noise. */
    private static final int PAST_MOST = 512;
    /** Closed after this share of the worker's idle limit, so that no call crosses the worker's own closing. */
    private static final double IDLE_SHARE = 0.8;

    private static final double PROBE_S = 0.25;
    /** A frame that is begun is whole within so many times the time a connection may take to come up. */
    private static final int UNFINISHED_DIALS = 4;

    /** An attempt that is out, and where its frame ends in what was written to the connection. */
    private record Out(Attempt attempt, long frameEnd) {}

    /** A probe that is out: when it was sent, and what ends it. */
    private record Probe(double sentAt, Clock.Timer limit) {}

    private final Worker worker;
    private final Connection connection;
    private final FrameParser parser = new FrameParser(FRAME_MOST, Frames.FROM_WORKERS);
    private final Map<String, Out> out = new HashMap<>();
    /** Whose query each was, by the core's own number. */
    private final Map<String, Long> past = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > PAST_MOST;
        }
    };
    /** Calls that wait until what was written before them is with the kernel; each is looked at again before it goes. */
    private final ArrayDeque<List<Attempt>> waiting = new ArrayDeque<>();
    /** Of the calls written here, those whose last byte the kernel has not taken yet, in order. */
    private final ArrayDeque<Out> unwritten = new ArrayDeque<>();

    private final ArrayDeque<Probe> probes = new ArrayDeque<>();
    private int lateProbes;
    private Clock.Timer unfinished;
    private Clock.Timer idle;
    private double usedAt;
    /** Since when something is out and nothing has come. */
    private double awaitedSince;

    WorkerConnection(Worker worker, Connection connection) {
        this.worker = worker;
        this.connection = connection;
        used();
        watchIdle(worker.site.idleS() * IDLE_SHARE);
        connection.start(this);
    }

    /**
     * Whether it has long been owed an answer. Guards against a way that has gone silent under an open connection: new
     * calls go on a new one, which either answers or shows at once that the worker can't be reached.
     */
    boolean silent() {
        return !out.isEmpty() && worker.loop.now() - awaitedSince > worker.site.dialS();
    }

    /** Parts that are out on it, or wait to be. */
    int out() {
        return out.size() + waiting.stream().mapToInt(List::size).sum();
    }

    /**
     * Whether an answer that comes on it could be for one of these parts or for another query's of the same id. Guards
     * against a client that uses an id again once its query is over: a late answer to the old one, or its second copy,
     * would be served to the new one as though it had been made for it.
     */
    boolean confuses(List<Attempt> call) {
        for (Attempt a : call) {
            String id = wireId(a);
            Out o = out.get(id);
            long query = o != null
                    ? o.attempt().part().query().sequenceNumber()
                    : past.getOrDefault(id, a.part().query().sequenceNumber());
            if (query != a.part().query().sequenceNumber()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Sends a call, or keeps it while the kernel has no room for what went before. Kept here it can still be taken back:
     * in the connection's buffer it would go out whatever had come meanwhile, word of draining or the end of its query.
     */
    void send(List<Attempt> call) {
        if (connection.unwritten()) {
            waiting.add(new ArrayList<>(call));
        } else {
            write(call);
        }
    }

    @Override
    public void flushed(Connection c) {
        tellWritten();
        while (!waiting.isEmpty() && !connection.unwritten() && !connection.closed()) {
            List<Attempt> live = worker.startable(waiting.removeFirst());
            if (!live.isEmpty()) {
                write(live);
            }
        }
    }

    /** What waits for room on it never ran, and won't. */
    void endWaiting(AttemptOutcome outcome) {
        List<List<Attempt>> calls = List.copyOf(waiting);
        waiting.clear();
        calls.forEach(call -> call.forEach(a -> worker.core.onAttemptEnded(a, outcome, LoadReport.NONE, null)));
    }

    private void write(List<Attempt> call) {
        List<Frames.PartCall> parts = new ArrayList<>();
        for (Attempt a : call) {
            long wait = Math.max(1, (long) Math.floor((a.deadline() - worker.loop.now()) * 1e3));
            parts.add(new Frames.PartCall(
                    wireId(a),
                    a.part().shard(),
                    wait,
                    a.part().query().request().idempotencyKey(),
                    a.part().query().request().body()));
        }
        if (out.isEmpty()) {
            awaitedSince = worker.loop.now();
        }
        byte[] frame = Frames.call(parts);
        long end = connection.queued() + frame.length;
        for (Attempt a : call) {
            Out o = new Out(a, end);
            out.put(wireId(a), o);
            unwritten.add(o);
        }
        used();
        connection.write(frame);
        tellWritten();
    }

    private void tellWritten() {
        while (!unwritten.isEmpty() && unwritten.peekFirst().frameEnd() <= connection.written()) {
            worker.core.onAttemptWritten(unwritten.removeFirst().attempt());
        }
    }

    static String wireId(Attempt a) {
        return a.part().query().request().id() + '.' + a.part().shard();
    }

    /** Gives an attempt up if it is out here; the worker's answer to it, should one come, finds nothing here. */
    boolean cancel(Attempt a) {
        String id = wireId(a);
        Out o = out.get(id);
        if (o == null || o.attempt() != a) {
            boolean waited = waiting.stream().anyMatch(call -> call.remove(a));
            waiting.removeIf(List::isEmpty);
            return waited;
        }
        out.remove(id);
        past.put(id, a.part().query().sequenceNumber());
        used();
        connection.write(Frames.giveUp(id));
        closeIfUnwanted();
        return true;
    }

    void probe() {
        double now = worker.loop.now();
        probes.addLast(new Probe(now, worker.loop.after(PROBE_S, () -> {
            if (!probes.isEmpty()) {
                probes.removeFirst();
                lateProbes++;
                worker.core.onHealthCheckEnded(worker.id, AttemptOutcome.TIMEOUT, PROBE_S, LoadReport.NONE);
            }
        })));
        used();
        connection.write(Frames.probe());
    }

    void closeIfIdle() {
        if (out.isEmpty() && probes.isEmpty() && waiting.isEmpty()) {
            connection.close();
            release();
        }
    }

    private void closeIfUnwanted() {
        if (worker.wantsNothingNew()) {
            closeIfIdle();
        }
    }

    /** Closes it whatever is out on it, which then has the outcome of a break. */
    void abandon() {
        connection.close();
        ended(connection);
    }

    private void used() {
        usedAt = worker.loop.now();
    }

    private void watchIdle(double after) {
        idle = worker.loop.after(after, () -> {
            double limit = worker.site.idleS() * IDLE_SHARE;
            double left = usedAt + limit - worker.loop.now();
            if (left <= 0) {
                closeIfIdle();
            }
            if (!connection.closed()) {
                watchIdle(left > 0 ? left : limit);
            }
        });
    }

    /** No timer may hold on to a closed connection: where workers close after each answer, hundreds would be kept so. */
    private void release() {
        worker.remove(this);
        idle.cancel();
        if (unfinished != null) {
            unfinished.cancel();
        }
    }

    @Override
    public void received(Connection c) {
        try {
            while (!c.closed()) {
                int used = parser.feed(c.bytes(), c.from(), c.to());
                if (used == 0) {
                    begun(c);
                    return;
                }
                if (unfinished != null) {
                    unfinished.cancel();
                    unfinished = null;
                }
                c.consume(used);
                used();
                awaitedSince = worker.loop.now();
                frame(parser.take());
            }
        } catch (FrameException e) {
            spoilt(e.getMessage());
        }
    }

    /**
     * Looks at a frame of which only the beginning is there. Guards against waiting, for as long as its attempt may take,
     * for an answer that can't be read anyway, or never ends: a sound one comes at once and whole.
     */
    private void begun(Connection c) throws FrameException {
        int there = c.to() - c.from();
        if (there > 5 && c.bytes()[c.from() + 4] == Frames.RESULT) {
            Frames.Result line = Frames.resultLine(c.bytes(), c.from() + 5, c.to());
            if (line != null) {
                known(line.id());
            }
        }
        // From its first byte: counted anew with each that comes, a frame that never ends would hold up all behind it.
        if (there > 0 && unfinished == null) {
            unfinished = worker.loop.after(UNFINISHED_DIALS * worker.site.dialS(), () -> {
                if (!c.closed()) {
                    spoilt("frame not finished");
                }
            });
        }
    }

    private void known(String id) throws FrameException {
        if (!out.containsKey(id) && !past.containsKey(id)) {
            throw new FrameException("unknown id");
        }
    }

    /** Nothing on it can be told from noise any more; what is out may have run. */
    private void spoilt(String why) {
        worker.notes.note(System.Logger.Level.WARNING, () -> "bad frame from worker " + worker.id + ": " + why);
        abandon();
    }

    private void frame(Frame f) throws FrameException {
        switch (f.letter()) {
            case Frames.RESULT -> result(Frames.result(f.rest()));
            case Frames.PROBE -> {
                Probe p = probes.pollFirst();
                if (p != null) {
                    p.limit().cancel();
                    boolean good = new String(f.rest(), StandardCharsets.UTF_8).equals("good");
                    worker.core.onHealthCheckEnded(
                            worker.id,
                            good ? AttemptOutcome.OK : AttemptOutcome.ERROR,
                            worker.loop.now() - p.sentAt(),
                            LoadReport.NONE);
                } else if (--lateProbes < 0) {
                    throw new FrameException("answer to no probe");
                }
            }
            case Frames.UNUSABLE -> {
                worker.notes.note(
                        System.Logger.Level.WARNING,
                        () -> "worker " + worker.id + " could not use a frame: "
                                + new String(f.rest(), StandardCharsets.UTF_8));
                abandon();
            }
            default -> throw new FrameException("letter " + f.letter());
        }
    }

    private void result(Frames.Result r) throws FrameException {
        AttemptOutcome outcome = switch (r.end()) {
            case "good" -> AttemptOutcome.OK;
            case "bad" -> AttemptOutcome.ERROR;
            case "later" -> AttemptOutcome.OVERLOADED;
            default -> throw new FrameException("unknown end " + r.end());
        };
        known(r.id());
        if (outcome == AttemptOutcome.OK && !text(r.value())) {
            throw new FrameException("value that is no text");
        }
        Out o = out.remove(r.id());
        if (o != null) {
            past.put(r.id(), o.attempt().part().query().sequenceNumber());
            LoadReport report =
                    LoadReport.of(Reports.row(r.report(), worker.site.module().reportNames()));
            worker.core.onAttemptEnded(o.attempt(), outcome, report, r.value());
            closeIfUnwanted();
        }
    }

    /** Whether a value can stand in an answer unchanged. */
    private static boolean text(byte[] value) {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(value));
            return true;
        } catch (CharacterCodingException e) {
            return false;
        }
    }

    /** A break: what had not been written whole never ran, the rest may have. */
    @Override
    public void ended(Connection c) {
        release();
        tellWritten();
        List<Out> broken = List.copyOf(out.values());
        out.clear();
        probes.forEach(p -> {
            p.limit().cancel();
            worker.core.onHealthCheckEnded(
                    worker.id, AttemptOutcome.RESET, worker.loop.now() - p.sentAt(), LoadReport.NONE);
        });
        probes.clear();
        endWaiting(AttemptOutcome.CONNECT_FAILED);
        for (Out o : broken) {
            boolean whole = c.written() >= o.frameEnd();
            worker.core.onAttemptEnded(
                    o.attempt(), whole ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED, LoadReport.NONE, null);
        }
    }
}
