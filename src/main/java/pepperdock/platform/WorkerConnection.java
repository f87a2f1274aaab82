package pepperdock.platform;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pepperdock.aggregator.Aggregator.Outcome;
import pepperdock.core.Attempt;
import pepperdock.core.Clock;
import pepperdock.frame.Frame;
import pepperdock.frame.FrameException;
import pepperdock.frame.FrameParser;
import pepperdock.frame.Frames;
import pepperdock.net.Connection;

/** One connection to a worker and the attempts that are out on it, by the id they bear on the wire. */
final class WorkerConnection implements Connection.Handler {

    /** A value is at most what an answer may hold, 64 KiB; its line comes before it. */
    private static final int FRAME_MOST = (1 << 16) + 2048;
    /** Ids remembered after their attempt has ended: their answers may come late, or twice, and are not noise. */
    private static final int PAST_MOST = 512;
    /** Closed after this share of the worker's idle limit, so that no call crosses the worker's own closing. */
    private static final double IDLE_SHARE = 0.8;
    private static final double PROBE_S = 0.25;
    /** A frame that is begun goes on within so many times the time a connection may take to come up. */
    private static final int UNFINISHED_DIALS = 4;

    /** An attempt that is out, and where its frame ends in what was written to the connection. */
    private record Out(Attempt attempt, long frameEnd) { }

    /** A probe that is out: when it was sent, and what ends it. */
    private record Probe(double sentAt, Clock.Timer limit) { }

    private final Worker worker;
    private final Connection connection;
    private final FrameParser parser = new FrameParser(FRAME_MOST, Frames.FROM_WORKERS);
    private final Map<String, Out> out = new HashMap<>();
    private final Set<String> past = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > PAST_MOST;
        }
    });
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

    int out() {
        return out.size();
    }

    void send(List<Attempt> call) {
        List<Frames.PartCall> parts = new ArrayList<>();
        for (Attempt a : call) {
            long wait = Math.max(1, (long) Math.floor((a.until() - worker.loop.now()) * 1e3));
            parts.add(new Frames.PartCall(wireId(a), a.part().shard(), wait, a.part().query().ask().key(),
                    a.part().query().ask().text()));
        }
        if (out.isEmpty()) {
            awaitedSince = worker.loop.now();
        }
        byte[] frame = Frames.call(parts);
        long end = connection.queued() + frame.length;
        call.forEach(a -> out.put(wireId(a), new Out(a, end)));
        used();
        connection.write(frame);
    }

    static String wireId(Attempt a) {
        return a.part().query().ask().id() + '.' + a.part().shard();
    }

    /** Gives an attempt up if it is out here; the worker's answer to it, should one come, finds nothing here. */
    boolean cancel(Attempt a) {
        String id = wireId(a);
        Out o = out.get(id);
        if (o == null || o.attempt() != a) {
            return false;
        }
        out.remove(id);
        past.add(id);
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
                worker.core.probed(worker.id, Outcome.TIMEOUT, PROBE_S, null);
            }
        })));
        used();
        connection.write(Frames.probe());
    }

    void closeIfIdle() {
        if (out.isEmpty() && probes.isEmpty()) {
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
        awaitedSince = worker.loop.now();
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
        if (unfinished != null) {
            unfinished.cancel();
            unfinished = null;
        }
        if (there > 0) {
            unfinished = worker.loop.after(UNFINISHED_DIALS * worker.site.dialS(), () -> {
                if (!c.closed()) {
                    spoilt("frame not finished");
                }
            });
        }
    }

    private void known(String id) throws FrameException {
        if (!out.containsKey(id) && !past.contains(id)) {
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
                    worker.core.probed(worker.id, good ? Outcome.OK : Outcome.ERROR,
                            worker.loop.now() - p.sentAt(), null);
                } else if (--lateProbes < 0) {
                    throw new FrameException("answer to no probe");
                }
            }
            case Frames.UNUSABLE -> {
                worker.notes.note(System.Logger.Level.WARNING, () -> "worker " + worker.id + " could not use a frame: "
                        + new String(f.rest(), StandardCharsets.UTF_8));
                abandon();
            }
            default -> throw new FrameException("letter " + f.letter());
        }
    }

    private void result(Frames.Result r) throws FrameException {
        Outcome outcome = switch (r.end()) {
            case "good" -> Outcome.OK;
            case "bad" -> Outcome.ERROR;
            case "later" -> Outcome.FULL;
            default -> throw new FrameException("unknown end " + r.end());
        };
        known(r.id());
        if (outcome == Outcome.OK && !text(r.value())) {
            throw new FrameException("value that is no text");
        }
        Out o = out.remove(r.id());
        if (o != null) {
            past.add(r.id());
            double[] report = Reports.row(r.report(), worker.site.module().reportNames());
            worker.core.ended(o.attempt(), outcome, report, r.value());
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
        List<Out> broken = List.copyOf(out.values());
        out.clear();
        probes.forEach(p -> {
            p.limit().cancel();
            worker.core.probed(worker.id, Outcome.RESET, worker.loop.now() - p.sentAt(), null);
        });
        probes.clear();
        for (Out o : broken) {
            boolean whole = c.written() >= o.frameEnd();
            worker.core.ended(o.attempt(), whole ? Outcome.RESET : Outcome.CONNECT_FAILED, null, null);
        }
    }
}
