package pepperdock.simulation;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import pepperdock.core.ManualClock;
import pepperdock.scheduler.AttemptOutcome;

/**
 * One emulated ledger node: cores that take calls in turn, a waiting room, a cost for each call and each new connection, a
 * cold start, and phases in which it is slow or stands still. A call is worked on by one core until all its parts are done.
 */
final class Node {

    /** What a node is like. Times in seconds; {@code cold} is the share of its speed with which it starts. */
    record Kind(
            int cores,
            double speed,
            int room,
            double callS,
            double connectS,
            int connections,
            double idleS,
            double cold,
            double warmS) {}

    /** A call under way; {@code done} hears of its one end. */
    private record Call(double workS, java.util.function.Consumer<AttemptOutcome> done) {}

    final String id;
    final Kind kind;
    private final ManualClock clock;
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();
    /** When each gatherer last used its connection; ends with the fleet, one entry a gatherer. */
    private final Map<Integer, Double> usedAt = new HashMap<>();

    private double slow = 1;
    private double stillUntil;
    private double startedAt = Double.NEGATIVE_INFINITY;
    private int busy;
    private double worked;

    Node(String id, Kind kind, ManualClock clock) {
        this.id = id;
        this.kind = kind;
        this.clock = clock;
    }

    /** From now on so many times slower than its kind. */
    void slow(double factor) {
        slow = factor;
    }

    /** Begins nothing for so long; what is under way goes on after it. */
    void still(double forS) {
        stillUntil = clock.now() + forS;
        clock.after(forS, this::next);
    }

    /** Starts anew, cold. */
    void restarted() {
        startedAt = clock.now();
        usedAt.clear();
    }

    private double speedNow() {
        double warm = kind.warmS() <= 0 ? 1 : Math.min(1, (clock.now() - startedAt) / kind.warmS());
        return kind.speed() / slow * (kind.cold() + (1 - kind.cold()) * warm);
    }

    /** A call of a gatherer with so much work in its parts. */
    void call(int gatherer, double partsS, java.util.function.Consumer<AttemptOutcome> done) {
        double work = partsS + kind.callS();
        double last = usedAt.getOrDefault(gatherer, Double.NEGATIVE_INFINITY);
        if (clock.now() - last > kind.idleS()) {
            long open = usedAt.values().stream()
                    .filter(t -> clock.now() - t <= kind.idleS())
                    .count();
            if (open >= kind.connections()) {
                done.accept(AttemptOutcome.CONNECT_FAILED);
                return;
            }
            work += kind.connectS();
        }
        usedAt.put(gatherer, clock.now());
        if (waiting.size() >= kind.room()) {
            done.accept(AttemptOutcome.OVERLOADED);
            return;
        }
        waiting.addLast(new Call(work, done));
        next();
    }

    private void next() {
        while (busy < kind.cores() && !waiting.isEmpty() && clock.now() >= stillUntil) {
            Call call = waiting.removeFirst();
            busy++;
            double took = call.workS() / speedNow();
            worked += took;
            clock.after(took, () -> {
                busy--;
                call.done().accept(AttemptOutcome.OK);
                next();
            });
        }
    }

    /** Seconds of core time spent so far. */
    double worked() {
        return worked;
    }
}
