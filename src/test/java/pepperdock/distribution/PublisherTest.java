package pepperdock.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests which messages a publisher sends to which subscriber, and within which budgets. */
class PublisherTest {

    private final PublisherSubscriberPair pair = new PublisherSubscriberPair();

    private static PublisherSettings settings(int snapshotsAtOnce) {
        return new PublisherSettings(
                1000, 15_000, 4000, 10_000, 4000, 20_000, 5000, snapshotsAtOnce, 1024, 50, 5, 1 << 20);
    }

    private static DistributionMessage.Hello hello(String name, ConfigurationSnapshot has) {
        return new DistributionMessage.Hello(new SubscriberId(name), 1, has.version(), has.digest(), Durability.SAVED);
    }

    @Test
    void subscriberWithARecentVersionIsSentOneDeltaOverAllLaterVersions() {
        ConfigurationSnapshot one = PublisherSubscriberPair.version(1, "a", "1");
        ConfigurationSnapshot three = PublisherSubscriberPair.version(3, "a", "3", "c", "1");
        pair.settled.addAll(List.of(one, PublisherSubscriberPair.version(2, "a", "2", "b", "1"), three));
        Publisher publisher = pair.publisher(settings(1), 0);
        publisher.connected(1, 0);
        publisher.received(1, hello("g1", one), 0);
        DistributionMessage.Update update =
                assertInstanceOf(DistributionMessage.Update.class, pair.toSubscriber.removeFirst());
        assertTrue(update.delta().fits(one));
        ConfigurationSnapshot result = one.with(
                update.delta().result(), update.delta().format(), update.delta().changes());
        assertEquals(three.digest(), result.digest());
        assertTrue(pair.toSubscriber.isEmpty());
    }

    @Test
    void subscriberWithADroppedVersionOrAnotherContentIsSentASnapshot() {
        for (int i = 1; i <= 9; i++) {
            pair.settled.add(PublisherSubscriberPair.version(i, "a", "" + i));
        }
        Publisher publisher = pair.publisher(settings(3), 0);
        List<ConfigurationSnapshot> held =
                List.of(pair.settled.get(0), PublisherSubscriberPair.version(8, "a", "other"));
        for (int i = 0; i < held.size(); i++) {
            long now = i * 1000L;
            publisher.connected(i, now);
            publisher.received(i, hello("g" + i, held.get(i)), now);
            assertInstanceOf(DistributionMessage.SnapshotChunk.class, pair.toSubscriber.peekFirst());
            pair.toSubscriber.clear();
        }
        assertEquals(2, publisher.snapshotsUnderWay());
    }

    @Test
    void snapshotIsSentInsteadOfADeltaAboveItsShareOfTheSnapshot() {
        ConfigurationSnapshot one = PublisherSubscriberPair.version(1);
        pair.settled.addAll(List.of(one, PublisherSubscriberPair.version(2, "a", "x".repeat(8000))));
        Publisher publisher = pair.publisher(settings(3), 0);
        publisher.connected(1, 0);
        publisher.received(1, hello("g1", one), 0);
        assertInstanceOf(DistributionMessage.SnapshotChunk.class, pair.toSubscriber.peekFirst());
    }

    /**
     * After a disconnection of one hour with 720 changes, 28 to 30 KB were sent in one second, where 15 KB are allowed.
     */
    @Test
    void snapshotIsSentInChunksInsteadOfADeltaLargerThanTheBurst() {
        ConfigurationSnapshot one = ConfigurationSnapshot.of(
                new ConfigurationVersion(1, 1), 1, List.of(new ConfigurationItem("large", new byte[40_000])));
        Change added = new Change.Put(new ConfigurationItem("a", new byte[4000]));
        pair.settled.addAll(List.of(one, one.with(new ConfigurationVersion(1, 2), 1, List.of(added))));
        Publisher publisher = pair.publisher(settings(3), 0);
        publisher.connected(1, 0);
        publisher.received(1, hello("g1", one), 0);
        assertInstanceOf(DistributionMessage.SnapshotChunk.class, pair.toSubscriber.peekFirst());
    }

    @Test
    void longLagIsClosedByDeltasWithinTheBurstAndOfReadableFormats() {
        ConfigurationItem large = new ConfigurationItem("large", new byte[40_000]);
        ConfigurationSnapshot one = ConfigurationSnapshot.of(new ConfigurationVersion(1, 1), 1, List.of(large));
        pair.settled.add(one);
        for (int i = 2; i <= 11; i++) {
            Change added = new Change.Put(new ConfigurationItem("a" + i, new byte[1500]));
            int format = i == 3 ? 2 : 1;
            ConfigurationSnapshot before = pair.settled.get(pair.settled.size() - 1);
            pair.settled.add(before.with(new ConfigurationVersion(1, i), format, List.of(added)));
        }
        pair.saved = new VersionStore.Saved(one, ConfigurationVersion.NONE);
        Publisher publisher = pair.publisher(PublisherSettings.defaults(), 0);
        Subscriber subscriber = pair.subscriber(0);
        subscriber.tick(200);
        publisher.connected(PublisherSubscriberPair.CONNECTION, 200);
        subscriber.connected(200);
        pair.run(subscriber, publisher, 300, 3000);
        List<Long> inForce =
                pair.inForce.stream().map(c -> c.version().number()).toList();
        assertEquals(
                List.of(1L, 2L, 4L, 6L, 8L, 10L, 11L),
                inForce,
                "two changes per delta, without version 3, whose format is not readable");
        assertEquals(0, publisher.snapshotsUnderWay());
    }

    /** A control machine restarts with an old disk. It must offer nothing to a subscriber that has a newer version. */
    @Test
    void publisherWithAnOldDiskOffersNothingToASubscriberThatIsAhead() {
        pair.settled.add(PublisherSubscriberPair.version(4));
        Publisher publisher = pair.publisher(settings(1), 0);
        publisher.connected(1, 0);
        publisher.received(1, hello("g1", PublisherSubscriberPair.version(5)), 0);
        publisher.tick(100);
        assertEquals(1, pair.toSubscriber.size());
        assertInstanceOf(DistributionMessage.Heartbeat.class, pair.toSubscriber.removeFirst());
        assertTrue(publisher.subscribers(100).get(0).ahead());
    }

    /**
     * A subscriber has a newer version than the control machine, which then must not claim to any subscriber to be up
     * to date.
     */
    @Test
    void publisherThatKnowsOfANewerVersionReportsItselfUnconfirmed() {
        pair.settled.add(PublisherSubscriberPair.version(4));
        Publisher publisher = pair.publisher(settings(1), 0);
        publisher.connected(1, 0);
        publisher.received(1, hello("g1", PublisherSubscriberPair.version(5)), 0);
        publisher.disconnected(1);
        publisher.connected(2, 0);
        publisher.received(2, hello("g2", PublisherSubscriberPair.version(4)), 0);
        pair.confirmedAt = 100;
        publisher.tick(100);
        DistributionMessage.Heartbeat heartbeat = (DistributionMessage.Heartbeat) pair.toSubscriber.removeFirst();
        assertEquals(86_400_000, heartbeat.confirmedMillisAgo());
    }

    @Test
    void subscribersAboveTheSnapshotLimitAreToldToRetryLaterOnesLater() {
        pair.settled.add(PublisherSubscriberPair.version(4));
        Publisher publisher = pair.publisher(settings(1), 0);
        List<Integer> after = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            publisher.connected(i, 0);
            publisher.received(i, hello("g" + i, ConfigurationSnapshot.NONE), 0);
            pair.toSubscriber.stream()
                    .filter(DistributionMessage.RetryAfter.class::isInstance)
                    .forEach(m -> after.add(((DistributionMessage.RetryAfter) m).millis()));
            pair.toSubscriber.clear();
        }
        assertEquals(4, after.size());
        assertEquals(1, publisher.snapshotsUnderWay());
        assertTrue(after.get(3) > 2 * after.get(0), after.toString());
        publisher.disconnected(0);
        publisher.received(
                1,
                new DistributionMessage.UpdateRequest(
                        ConfigurationVersion.NONE, ConfigurationSnapshot.NONE.digest(), false),
                1000);
        assertEquals(1, publisher.snapshotsUnderWay());
        assertTrue(pair.toSubscriber.stream().anyMatch(DistributionMessage.SnapshotChunk.class::isInstance));
    }

    @Test
    void noSecondExceedsTheBudgetOfOneSubscriberOrOfAllTogether() {
        pair.settled.add(ConfigurationSnapshot.of(
                new ConfigurationVersion(1, 1), 1, List.of(new ConfigurationItem("x", new byte[40_000]))));
        TreeMap<Long, Long> bytesToAll = new TreeMap<>();
        TreeMap<Long, Long> bytesToFirst = new TreeMap<>();
        long[] now = {0};
        PublisherOutput counting = new PublisherOutput() {
            @Override
            public void send(long connection, DistributionMessage.FromPublisher message) {
                bytesToAll.merge(now[0], (long) message.bytes(), Long::sum);
                if (connection == 1) {
                    bytesToFirst.merge(now[0], (long) message.bytes(), Long::sum);
                }
            }

            @Override
            public void close(long connection) {
                throw new AssertionError("the publisher closed a connection");
            }
        };
        Publisher publisher = new Publisher(settings(3), pair.source, counting, 1, 0);
        for (int i = 1; i <= 3; i++) {
            publisher.connected(i, 0);
            publisher.received(i, hello("g" + i, ConfigurationSnapshot.NONE), 0);
        }
        for (; now[0] < 10_000; now[0] += 20) {
            publisher.tick(now[0]);
        }
        assertEquals(0, publisher.snapshotsUnderWay());
        int heartbeats = 3 * 2 * (DistributionMessage.OVERHEAD + 36);
        for (long from = 0; from < 9000; from += 20) {
            long all = bytesToAll.subMap(from, from + 1000).values().stream()
                    .mapToLong(Long::longValue)
                    .sum();
            long first = bytesToFirst.subMap(from, from + 1000).values().stream()
                    .mapToLong(Long::longValue)
                    .sum();
            assertTrue(all <= 20_000 + 5000 + 1200 + heartbeats, from + ": " + all);
            assertTrue(first <= 10_000 + 4000, from + ": " + first);
        }
    }

    @Test
    void twoVersionsCommittedDuringASnapshotFollowAsOneDelta() {
        pair.settled.add(PublisherSubscriberPair.version(1));
        Publisher publisher = pair.publisher(settings(1), 0);
        Subscriber subscriber = pair.subscriber(0);
        subscriber.tick(200);
        publisher.connected(PublisherSubscriberPair.CONNECTION, 200);
        subscriber.connected(200);
        pair.exchange(subscriber, publisher, 200);
        assertEquals(1, publisher.snapshotsUnderWay());
        pair.settled.add(PublisherSubscriberPair.version(2, "a", "2"));
        publisher.onCommitted(300);
        pair.settled.add(PublisherSubscriberPair.version(3, "a", "3"));
        publisher.onCommitted(300);
        pair.run(subscriber, publisher, 300, 3000);
        assertEquals(
                List.of(1L, 3L),
                pair.inForce.stream().map(c -> c.version().number()).toList());
        SubscriberState state = publisher.subscribers(3000).get(0);
        assertEquals(new ConfigurationVersion(1, 3), state.inForce());
        assertFalse(state.lagging());
    }

    /** One subscriber does not react to a delta, the other refuses it. Only the first one is reported as lagging. */
    @Test
    void unansweredVersionIsReportedAsLaggingAndARefusedOneIsNot() {
        ConfigurationSnapshot one = PublisherSubscriberPair.version(1);
        pair.settled.addAll(List.of(one, PublisherSubscriberPair.version(2, "a", "2")));
        Publisher publisher = pair.publisher(settings(1), 0);
        for (int i = 1; i <= 2; i++) {
            publisher.connected(i, 0);
            publisher.received(i, hello("g" + i, one), 0);
        }
        Refusal refusal = new Refusal(new ConfigurationVersion(1, 2), Refusal.Reason.FORMAT, "format 2");
        publisher.received(2, new DistributionMessage.Refused(refusal), 10);
        List<SubscriberState> states = publisher.subscribers(5000);
        assertTrue(states.get(0).lagging());
        assertFalse(states.get(1).lagging());
        assertEquals(refusal, states.get(1).refusal().orElseThrow());
        pair.toSubscriber.clear();
        publisher.tick(5000);
        assertTrue(pair.toSubscriber.stream().allMatch(DistributionMessage.Heartbeat.class::isInstance));
    }

    /** A subscriber opens a connection and sends nothing. The connection is closed after the silence timeout. */
    @Test
    void silentConnectionIsClosed() {
        Publisher publisher = pair.publisher(settings(1), 0);
        publisher.connected(1, 0);
        publisher.tick(15_000);
        assertFalse(pair.closed);
        publisher.tick(15_001);
        assertTrue(pair.closed);
    }

    @Test
    void heartbeatsReportHowLongAgoTheMachineWasConfirmed() {
        pair.settled.add(PublisherSubscriberPair.version(1));
        pair.confirmedAt = 2000;
        Publisher publisher = pair.publisher(settings(1), 0);
        publisher.connected(1, 0);
        publisher.received(1, hello("g1", PublisherSubscriberPair.version(1)), 0);
        publisher.tick(9000);
        ConfigurationSnapshot one = PublisherSubscriberPair.version(1);
        assertEquals(
                List.of(new DistributionMessage.Heartbeat(one.version(), one.digest(), 7000)),
                List.copyOf(pair.toSubscriber));
    }
}
