package pepperdock.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pepperdock.core.Clock;

/** Clients that sent at full speed were served without end, and the loop's timers and other clients waited (issue 53). */
@Timeout(60)
class InputSchedulerTest {

    /** The time for clients' input between two polls of the loop, and the last request of it. */
    private static final double MAX_TURN_S = 0.0075;

    private final LoopClock clock = new LoopClock();
    private final DeferredWork deferredWork = new DeferredWork(clock);
    private final InputScheduler scheduler =
            new InputScheduler(clock, deferredWork, new InputAccounting(new TransportMetrics()));

    /** A clock that moves on by the time that requests take, and runs timers as a loop does. */
    private final class LoopClock implements Clock {
        private record Entry(double dueAtS, Runnable task) {}

        private final List<Entry> timers = new ArrayList<>();
        private double nowS = 100;

        @Override
        public double now() {
            return nowS;
        }

        @Override
        public Timer after(double seconds, Runnable task) {
            timers.add(new Entry(nowS + seconds, task));
            return () -> {};
        }

        private void runDue() {
            double startS = nowS;
            List<Entry> due = new ArrayList<>(
                    timers.stream().filter(entry -> entry.dueAtS() <= startS).toList());
            timers.removeAll(due);
            due.forEach(entry -> entry.task().run());
        }

        /** Polls the sockets, runs what is due now, then waits for the next millisecond; returns the time that the timers took. */
        private double turn() {
            double startS = nowS;
            deferredWork.onSocketEvent();
            runDue();
            double tookS = nowS - startS;
            assertTrue(timers.stream().noneMatch(entry -> entry.dueAtS() <= nowS), "due again: no socket is polled");
            nowS += 0.001;
            return tookS;
        }
    }

    /** A connection whose requests take a fixed time each. */
    private final class Client implements InputScheduler.Source {
        private final InputShare share = new InputShare(clock.now());
        private final double requestS;
        private int waiting;
        private int served;

        private Client(double requestS, int waiting) {
            this.requestS = requestS;
            this.waiting = waiting;
        }

        @Override
        public boolean serveInput(double untilS) {
            do {
                clock.nowS += requestS;
                waiting--;
                served++;
            } while (waiting > 0 && clock.now() < untilS);
            return false;
        }

        @Override
        public boolean hasServableInput() {
            return waiting > 0;
        }

        @Override
        public String peer() {
            return "peer";
        }

        @Override
        public InputShare share() {
            return share;
        }
    }

    private List<Client> flooders(int count, double requestS) {
        List<Client> flooders = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            flooders.add(new Client(requestS, Integer.MAX_VALUE));
            scheduler.submit(flooders.get(i));
        }
        return flooders;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 12, 300})
    void inputServedInOneTurnIsBoundedHoweverManyClientsSend(int count) {
        double startS = clock.now();
        List<Client> flooders = flooders(count, 0.0001);
        assertTrue(clock.now() - startS <= MAX_TURN_S, clock.now() - startS + " s");
        for (int i = 0; i < 2000; i++) {
            double tookS = clock.turn();
            assertTrue(tookS <= MAX_TURN_S, tookS + " s");
        }
        assertTrue(flooders.stream().allMatch(flooder -> flooder.served > 5), "each of them gets its turn");
    }

    @Test
    void clientWithCreditIsServedBeforeThoseThatSendTooMuch() {
        flooders(12, 0.0004);
        SplittableRandom random = new SplittableRandom(7);
        double longestWaitS = 0;
        for (int request = 0; request < 500; request++) {
            Client client = new Client(0.0002, 1);
            double sentAtS = clock.now();
            scheduler.submit(client);
            while (client.served == 0) {
                clock.turn();
            }
            longestWaitS = Math.max(longestWaitS, clock.now() - sentAtS);
            for (int i = random.nextInt(20); i > 0; i--) {
                clock.turn();
            }
        }
        assertTrue(longestWaitS < 2 * MAX_TURN_S, longestWaitS + " s");
    }

    @Test
    void aClientIsQueuedOnceHoweverOftenItIsSubmitted() {
        Client flooder = flooders(1, 0.0001).get(0);
        for (int i = 0; i < 1000; i++) {
            scheduler.submit(flooder);
        }
        clock.turn();
        flooder.waiting = 1;
        clock.turn();
        int served = flooder.served;
        for (int i = 0; i < 10; i++) {
            clock.turn();
        }
        assertEquals(served, flooder.served);
    }

    @Test
    void aClientThatHasStoppedSendingTooMuchIsServedAtOnceASecondLater() {
        Client flooder = flooders(1, 0.001).get(0);
        for (int i = 0; i < 100; i++) {
            clock.turn();
        }
        flooder.waiting = 1;
        clock.turn();
        clock.turn();
        clock.nowS += 1.1;
        int served = flooder.served;
        flooder.waiting = 1;
        scheduler.submit(flooder);
        assertEquals(served + 1, flooder.served);
    }

    /** Two timers that took longer than their delay kept each other due, and no socket was polled. */
    @Test
    void deferredWorkRunsOnceBetweenTwoPolls() {
        int[] runs = {0};
        Runnable[] work = {null};
        work[0] = () -> {
            runs[0]++;
            deferredWork.schedule(work[0]);
        };
        deferredWork.schedule(work[0]);
        clock.nowS += 0.001;
        clock.turn();
        assertEquals(1, runs[0]);
        for (int i = 0; i < 100; i++) {
            // Another timer takes long: the thread has not waited in a poll, and no event of a socket has come.
            clock.nowS += 0.005;
            clock.runDue();
        }
        assertEquals(1, runs[0]);
        clock.nowS += 0.005;
        clock.turn();
        assertEquals(2, runs[0]);
    }
}
