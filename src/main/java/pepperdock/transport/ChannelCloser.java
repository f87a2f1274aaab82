package pepperdock.transport;

import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import pepperdock.core.Clock;

/**
 * Closes channels, for a bounded time in each turn of the loop. XNIO polls the selector for each channel that it closes,
 * which takes the longer the more channels are ready: hundreds of clients that left at once held the loop up for tenths
 * of a second. Owned by the I/O thread.
 */
final class ChannelCloser {

    private static final double MAX_CLOSE_S = 0.002;

    private final Clock clock;
    private final DeferredWork deferredWork;
    private final Deque<StreamConnection> waiting = new ArrayDeque<>();
    private double usedInTurnS;
    private boolean turnEndScheduled;

    ChannelCloser(Clock clock, DeferredWork deferredWork) {
        this.clock = clock;
        this.deferredWork = deferredWork;
    }

    /** Closes a channel now, or in one of the next turns if much has been closed in this one. */
    void close(StreamConnection channel) {
        if (usedInTurnS >= MAX_CLOSE_S) {
            channel.getSourceChannel().suspendReads();
            channel.getSinkChannel().suspendWrites();
            waiting.add(channel);
        } else {
            closeNow(channel);
        }
    }

    /** Closes a channel now, whatever else has been closed. */
    void closeNow(StreamConnection channel) {
        run(() -> IoUtils.safeClose(channel));
    }

    /** Runs a task that may close a channel, unless much has been closed in this turn. */
    void runIfTimeLeft(Runnable task) {
        if (usedInTurnS < MAX_CLOSE_S) {
            run(task);
        }
    }

    private void run(Runnable task) {
        double startS = clock.now();
        task.run();
        usedInTurnS += clock.now() - startS;
        if (!turnEndScheduled) {
            turnEndScheduled = true;
            deferredWork.schedule(this::endTurn);
        }
    }

    /** Returns the number of channels that still have to be closed. */
    int waitingCount() {
        return waiting.size();
    }

    private void endTurn() {
        turnEndScheduled = false;
        usedInTurnS = 0;
        while (!waiting.isEmpty() && usedInTurnS < MAX_CLOSE_S) {
            closeNow(waiting.remove());
        }
    }
}
