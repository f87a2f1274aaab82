package pepperdock.simulation;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import pepperdock.core.ManualClock;
import pepperdock.scheduler.AttemptOutcome;

/**
 * One emulated worker node of the ledger: cores that process calls in order of arrival, a bounded queue, a cost for
 * each call and each new connection, a cold start, and phases in which the node is slow or paused. One core processes a
 * call until all its parts are done.
 */
final class WorkerNode {

    /**
     * The properties of a node. Times are in seconds; {@code coldSpeedShare} is the share of its speed with which it
     * starts.
     */
    record Kind(
            int cores,
            double speed,
            int queueCapacity,
            double callS,
            double connectS,
            int connections,
            double idleS,
            double coldSpeedShare,
            double warmUpS) {}

    /** A queued or running call; {@code done} is called once, with its outcome. */
    private record Call(double workS, java.util.function.Consumer<AttemptOutcome> done) {}

    final String id;
    final Kind kind;
    private final ManualClock clock;
    private final ArrayDeque<Call> queue = new ArrayDeque<>();
    /**
     * The time at which each gatherer last used its connection. Bounded: one entry per gatherer of the simulated fleet.
     */
    private final Map<Integer, Double> lastUsedAt = new HashMap<>();

    private double slowdown = 1;
    private double pausedUntil;
    private double startedAt = Double.NEGATIVE_INFINITY;
    private int busyCores;
    private double coreSeconds;

    WorkerNode(String id, Kind kind, ManualClock clock) {
        this.id = id;
        this.kind = kind;
        this.clock = clock;
    }

    /** Makes the node slower than its kind by that factor, from now on. */
    void slow(double factor) {
        slowdown = factor;
    }

    /** Starts no call for that long; running calls continue. */
    void pause(double forS) {
        pausedUntil = clock.now() + forS;
        clock.after(forS, this::startQueuedCalls);
    }

    /** Restarts the node: it is cold, and all its connections are closed. */
    void restart() {
        startedAt = clock.now();
        lastUsedAt.clear();
    }

    private double speedNow() {
        double warm = kind.warmUpS() <= 0 ? 1 : Math.min(1, (clock.now() - startedAt) / kind.warmUpS());
        return kind.speed() / slowdown * (kind.coldSpeedShare() + (1 - kind.coldSpeedShare()) * warm);
    }

    /** Takes a call of a gatherer; {@code partsS} is the work of its parts in seconds. */
    void call(int gatherer, double partsS, java.util.function.Consumer<AttemptOutcome> done) {
        double work = partsS + kind.callS();
        double last = lastUsedAt.getOrDefault(gatherer, Double.NEGATIVE_INFINITY);
        if (clock.now() - last > kind.idleS()) {
            long open = lastUsedAt.values().stream()
                    .filter(t -> clock.now() - t <= kind.idleS())
                    .count();
            if (open >= kind.connections()) {
                done.accept(AttemptOutcome.CONNECT_FAILED);
                return;
            }
            work += kind.connectS();
        }
        lastUsedAt.put(gatherer, clock.now());
        if (queue.size() >= kind.queueCapacity()) {
            done.accept(AttemptOutcome.OVERLOADED);
            return;
        }
        queue.addLast(new Call(work, done));
        startQueuedCalls();
    }

    private void startQueuedCalls() {
        while (busyCores < kind.cores() && !queue.isEmpty() && clock.now() >= pausedUntil) {
            Call call = queue.removeFirst();
            busyCores++;
            double elapsedS = call.workS() / speedNow();
            coreSeconds += elapsedS;
            clock.after(elapsedS, () -> {
                busyCores--;
                call.done().accept(AttemptOutcome.OK);
                startQueuedCalls();
            });
        }
    }

    /** Returns the core time spent so far, in seconds. */
    double coreSeconds() {
        return coreSeconds;
    }
}
