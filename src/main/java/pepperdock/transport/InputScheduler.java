package pepperdock.transport;

import java.util.ArrayDeque;
import java.util.Deque;
import pepperdock.core.Clock;

/**
 * Decides when the input of clients is served, so that no client takes the loop's time from the others. Input of a
 * connection that has used little time lately is served as it arrives, up to a bound in each turn of the loop. All other
 * input waits in queues, which are served in rounds; between two rounds the loop handles its timers, servers and new
 * input. Owned by the I/O thread.
 */
final class InputScheduler {

    /** A connection with input. */
    interface Source {
        /**
         * Serves input until none is left, a request is in progress, or the time is over.
         *
         * @param untilS when to stop before the next request, in seconds on the clock
         * @return whether a request is in progress now that was not before
         */
        boolean serveInput(double untilS);

        /** Returns whether there is input that can be served now. */
        boolean hasServableInput();

        /** Returns the address of the client, for the log. */
        String peer();

        /** Returns what the connection may use. */
        InputShare share();
    }

    /** Bound on the input served in one turn of the loop as it arrives, and in a round for connections with credit. */
    private static final double TURN_S = 0.005;
    /** Bound on the input served in a round for connections that have used up their credit. */
    private static final double OVERUSED_ROUND_S = 0.002;
    /** Time after which a connection gives way to the next one. */
    private static final double QUANTUM_S = 0.0005;
    /** Bound on what one run is charged: the thread may have lost its processor during the run. */
    private static final double MAX_RUN_COST_S = 0.002;
    /** What a request in progress is charged for its decisions, calls and answer. */
    private static final double REQUEST_COST_S = 0.0003;

    private final Clock clock;
    private final DeferredWork deferredWork;
    private final InputAccounting accounting;
    private final Deque<Source> withCredit = new ArrayDeque<>();
    private final Deque<Source> overused = new ArrayDeque<>();
    /** The connection that is served now; null if none is. */
    private Source running;

    private boolean turnEndScheduled;
    private boolean roundScheduled;
    private double usedInTurnS;

    InputScheduler(Clock clock, DeferredWork deferredWork, InputAccounting accounting) {
        this.clock = clock;
        this.deferredWork = deferredWork;
        this.accounting = accounting;
    }

    /** Serves the input of a connection, now or later in a round; has no effect on one that waits for a round. */
    void submit(Source source) {
        if (source == running || source.share().queued) {
            return;
        }
        if (running != null || usedInTurnS >= TURN_S || !source.share().hasCredit(clock.now())) {
            enqueue(source);
            return;
        }
        usedInTurnS += run(source);
        if (!turnEndScheduled) {
            turnEndScheduled = true;
            clock.after(0, this::endTurn);
        }
    }

    private void endTurn() {
        turnEndScheduled = false;
        usedInTurnS = 0;
    }

    private void enqueue(Source source) {
        source.share().queued = true;
        (source.share().hasCredit(clock.now()) ? withCredit : overused).add(source);
        scheduleRound();
    }

    private void scheduleRound() {
        if (!roundScheduled) {
            roundScheduled = true;
            deferredWork.schedule(this::runRound);
        }
    }

    private void runRound() {
        roundScheduled = false;
        serve(withCredit, TURN_S);
        serve(overused, OVERUSED_ROUND_S);
        if (!withCredit.isEmpty() || !overused.isEmpty()) {
            scheduleRound();
        }
    }

    /** Serves connections of a queue, each once at most, until the time is used up. */
    private void serve(Deque<Source> queue, double limitS) {
        double usedS = 0;
        for (int left = queue.size(); left > 0 && usedS < limitS; left--) {
            Source source = queue.remove();
            source.share().queued = false;
            usedS += run(source);
        }
    }

    /** Serves a connection, charges it, and returns the seconds that are counted under the bounds. */
    private double run(Source source) {
        double startS = clock.now();
        running = source;
        boolean began;
        try {
            began = source.serveInput(startS + QUANTUM_S);
        } finally {
            running = null;
        }
        double elapsedS = clock.now() - startS;
        accounting.recordServed(source::peer, elapsedS);
        double costS = Math.min(MAX_RUN_COST_S, elapsedS) + (began ? REQUEST_COST_S : 0);
        source.share().charge(costS);
        if (source.hasServableInput()) {
            enqueue(source);
        }
        return costS;
    }
}
