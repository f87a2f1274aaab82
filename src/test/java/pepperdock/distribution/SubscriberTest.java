package pepperdock.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which versions a subscriber puts in force, saves and reports, with one message at a time. */
class SubscriberTest {

    private final PublisherSubscriberPair pair = new PublisherSubscriberPair();

    private Subscriber connected(long now) {
        Subscriber subscriber = pair.subscriber(now);
        subscriber.tick(now + 1000);
        subscriber.connected(now + 1000);
        pair.toPublisher.clear();
        return subscriber;
    }

    private static void snapshot(Subscriber subscriber, ConfigurationSnapshot configuration, long now) {
        SnapshotTransfer transfer = new SnapshotTransfer(configuration, configuration.encoded(), 1000);
        while (!transfer.done()) {
            subscriber.received(transfer.next(), now);
        }
    }

    private static void delta(Subscriber subscriber, ConfigurationSnapshot from, ConfigurationSnapshot to, long now) {
        subscriber.received(new DistributionMessage.Update(Delta.between(from, to)), now);
    }

    private static DistributionMessage.Heartbeat heartbeat(ConfigurationSnapshot latest, int confirmedMillisAgo) {
        return new DistributionMessage.Heartbeat(latest.version(), latest.digest(), confirmedMillisAgo);
    }

    @Test
    void snapshotIsPutInForceOnlyOnceComplete() {
        Subscriber subscriber = connected(0);
        ConfigurationSnapshot five = PublisherSubscriberPair.version(5, "a", "1");
        SnapshotTransfer transfer = new SnapshotTransfer(five, five.encoded(), 1000);
        while (!transfer.done()) {
            assertEquals(List.of(), pair.inForce);
            subscriber.received(transfer.next(), 1000);
        }
        assertEquals(
                List.of(five.digest()),
                pair.inForce.stream().map(ConfigurationSnapshot::digest).toList());
        assertEquals(
                new DistributionMessage.InForce(five.version(), five.digest(), Durability.SAVED),
                pair.toPublisher.removeFirst());
        assertEquals(five.digest(), pair.saved.configuration().digest());
    }

    /** A chunk of a snapshot is lost in transit. The incomplete snapshot must not be put in force. */
    @Test
    void snapshotWithMissingChunkIsNeverPutInForce() {
        Subscriber subscriber = connected(0);
        ConfigurationSnapshot five = PublisherSubscriberPair.version(5);
        SnapshotTransfer transfer = new SnapshotTransfer(five, five.encoded(), 1000);
        subscriber.received(transfer.next(), 1000);
        transfer.next();
        while (!transfer.done()) {
            subscriber.received(transfer.next(), 1000);
        }
        assertEquals(List.of(), pair.inForce);
    }

    /**
     * A delta is based on a different content of the version in force. It must not be applied; a snapshot is requested.
     */
    @Test
    void deltaForAnotherBaseIsIgnoredAndASnapshotIsRequested() {
        Subscriber subscriber = connected(0);
        ConfigurationSnapshot five = PublisherSubscriberPair.version(5, "a", "1");
        snapshot(subscriber, five, 1000);
        pair.toPublisher.clear();
        delta(
                subscriber,
                PublisherSubscriberPair.version(5, "a", "other"),
                PublisherSubscriberPair.version(6, "a", "2"),
                1000);
        assertEquals(
                List.of(new DistributionMessage.UpdateRequest(five.version(), five.digest(), true)),
                List.copyOf(pair.toPublisher));
        assertEquals(five.digest(), subscriber.inForce().digest());
    }

    /** A delta lacks one of its changes. Its result is not what was committed, so a snapshot is requested. */
    @Test
    void deltaWithWrongResultDigestIsIgnoredAndASnapshotIsRequested() {
        Subscriber subscriber = connected(0);
        ConfigurationSnapshot five = PublisherSubscriberPair.version(5, "a", "1");
        snapshot(subscriber, five, 1000);
        pair.toPublisher.clear();
        Delta complete = Delta.between(five, PublisherSubscriberPair.version(6, "a", "2", "b", "3"));
        Delta truncated = new Delta(
                complete.base(),
                complete.baseDigest(),
                complete.result(),
                complete.digest(),
                1,
                complete.changes().subList(0, 1));
        subscriber.received(new DistributionMessage.Update(truncated), 1000);
        assertInstanceOf(DistributionMessage.UpdateRequest.class, pair.toPublisher.removeFirst());
        assertEquals(five.digest(), subscriber.inForce().digest());
    }

    /**
     * A control machine that is behind sends an older version, before and after a restart. It must not be put in force.
     */
    @Test
    void olderVersionIsIgnoredAsDeltaAsSnapshotAndAfterARestart() {
        Subscriber subscriber = connected(0);
        ConfigurationSnapshot five = PublisherSubscriberPair.version(5);
        ConfigurationSnapshot four = PublisherSubscriberPair.version(4);
        snapshot(subscriber, five, 1000);
        snapshot(subscriber, four, 1000);
        delta(subscriber, five, four, 1000);
        assertEquals(1, pair.inForce.size());
        subscriber = connected(5000);
        assertEquals(five.digest(), subscriber.inForce().digest());
        snapshot(subscriber, four, 6000);
        assertEquals(five.version(), subscriber.inForce().version());
    }

    @Test
    void higherEpochIsNewerThanAnyNumber() {
        Subscriber subscriber = connected(0);
        snapshot(subscriber, PublisherSubscriberPair.version(500), 1000);
        ConfigurationSnapshot newEpoch = ConfigurationSnapshot.of(new ConfigurationVersion(2, 3), 1, List.of());
        snapshot(subscriber, newEpoch, 1000);
        assertEquals(newEpoch.version(), subscriber.inForce().version());
    }

    /**
     * The disk is full when version 6 arrives. It is put in force, and version 5 must not be put in force after a
     * restart.
     */
    @Test
    void withAFullDiskAVersionIsInForceFromMemoryAndHeldBackAfterARestart() {
        Subscriber subscriber = connected(0);
        ConfigurationSnapshot five = PublisherSubscriberPair.version(5);
        snapshot(subscriber, five, 1000);
        pair.diskFull = true;
        pair.toPublisher.clear();
        ConfigurationSnapshot six = PublisherSubscriberPair.version(6, "a", "1");
        delta(subscriber, five, six, 1000);
        assertEquals(six.digest(), subscriber.inForce().digest());
        assertEquals(
                new DistributionMessage.InForce(six.version(), six.digest(), Durability.FLOOR_ONLY),
                pair.toPublisher.removeFirst());
        int inForceBefore = pair.inForce.size();
        subscriber = connected(5000);
        assertTrue(subscriber.heldBack());
        assertEquals(inForceBefore, pair.inForce.size(), "version 5 is not put in force again");
        snapshot(subscriber, five, 6000);
        assertTrue(subscriber.heldBack());
        snapshot(subscriber, six, 6000);
        assertFalse(subscriber.heldBack());
        assertEquals(six.digest(), subscriber.inForce().digest());
    }

    /** The disk fails when a version arrives, and recovers later. The version is then saved, and that is reported. */
    @Test
    void versionInForceIsSavedAndReportedOnceTheDiskRecovers() {
        pair.diskFails = true;
        Subscriber subscriber = connected(0);
        ConfigurationSnapshot five = PublisherSubscriberPair.version(5);
        snapshot(subscriber, five, 1000);
        assertEquals(Durability.MEMORY_ONLY, subscriber.durability());
        pair.diskFails = false;
        pair.toPublisher.clear();
        subscriber.received(heartbeat(five, 0), 2000);
        subscriber.tick(1000 + SubscriberSettings.defaults().saveRetryMillis());
        assertTrue(pair.toPublisher.contains(
                new DistributionMessage.InForce(five.version(), five.digest(), Durability.SAVED)));
        assertEquals(five.digest(), pair.saved.configuration().digest());
    }

    /**
     * A newer control machine sends an unsupported format. It is refused, and the next version that is supported put in
     * force.
     */
    @Test
    void unsupportedFormatIsRefusedAndThePreviousVersionStaysInForce() {
        Subscriber subscriber = connected(0);
        ConfigurationSnapshot five = PublisherSubscriberPair.version(5);
        snapshot(subscriber, five, 1000);
        pair.toPublisher.clear();
        ConfigurationSnapshot six = PublisherSubscriberPair.versionWithFormat(6, 2);
        delta(subscriber, five, six, 1000);
        Refusal refusal = new Refusal(six.version(), Refusal.Reason.FORMAT, "format 2, this reads up to 1");
        assertEquals(List.of(new DistributionMessage.Refused(refusal)), List.copyOf(pair.toPublisher));
        assertEquals(refusal, subscriber.refusal().orElseThrow());
        assertEquals(five.digest(), subscriber.inForce().digest());
        subscriber.received(heartbeat(six, 0), 1000);
        pair.toPublisher.clear();
        subscriber.tick(3500);
        assertEquals(List.of(), List.copyOf(pair.toPublisher), "a refused version is not requested");
        delta(subscriber, five, PublisherSubscriberPair.version(7), 3500);
        assertEquals(7, subscriber.inForce().version().number());
    }

    /** The validator rejects a committed version. The version is refused, with the reason for the operator. */
    @Test
    void versionThatTheValidatorRejectsIsRefused() {
        Subscriber subscriber = connected(0);
        pair.validationError = "no shares";
        snapshot(subscriber, PublisherSubscriberPair.version(5), 1000);
        assertEquals(List.of(), pair.inForce);
        assertEquals(
                List.of(new DistributionMessage.Refused(
                        new Refusal(new ConfigurationVersion(1, 5), Refusal.Reason.INVALID, "no shares"))),
                List.copyOf(pair.toPublisher));
    }

    /**
     * Two control machines hold the same version with different contents. That is reported once, and nothing changes.
     */
    @Test
    void sameVersionWithAnotherContentIsReportedOnceAsAConflict() {
        Subscriber subscriber = connected(0);
        ConfigurationSnapshot five = PublisherSubscriberPair.version(5, "a", "1");
        snapshot(subscriber, five, 1000);
        pair.toPublisher.clear();
        subscriber.received(heartbeat(PublisherSubscriberPair.version(5, "a", "2"), 0), 1000);
        subscriber.received(heartbeat(PublisherSubscriberPair.version(5, "a", "2"), 0), 2000);
        assertEquals(1, pair.toPublisher.size());
        assertEquals(Refusal.Reason.CONFLICT, subscriber.refusal().orElseThrow().reason());
        assertEquals(five.digest(), subscriber.inForce().digest());
    }

    /** A control machine stops sending while its connection stays open. The subscriber tries another one. */
    @Test
    void silentControlMachineIsReplacedByAnother() {
        Subscriber subscriber = connected(0);
        assertEquals(List.of(PublisherSubscriberPair.NEAR), pair.tried, "its own region first");
        subscriber.tick(4000);
        assertFalse(pair.closed);
        subscriber.tick(4001);
        assertTrue(pair.closed);
        subscriber.tick(4201);
        assertEquals(List.of(PublisherSubscriberPair.NEAR, PublisherSubscriberPair.FAR), pair.tried);
    }

    /**
     * A control machine is cut off from its majority. The subscriber switches to another one, and stays with the first
     * only while all others fail.
     */
    @Test
    void unconfirmedControlMachineIsKeptOnlyWhileAllOthersFail() {
        Subscriber subscriber = connected(0);
        ConfigurationSnapshot five = PublisherSubscriberPair.version(5);
        snapshot(subscriber, five, 1000);
        for (long now = 2000; now < 7000; now += 1000) {
            subscriber.received(heartbeat(five, (int) now - 1000), now);
            subscriber.tick(now);
        }
        assertTrue(pair.closed);
        subscriber.tick(7000);
        assertEquals(PublisherSubscriberPair.FAR, pair.tried.get(1));
        subscriber.disconnected(7010);
        subscriber.tick(8000);
        assertEquals(PublisherSubscriberPair.NEAR, pair.tried.get(2), "the others have been tried");
        subscriber.connected(8000);
        pair.closed = false;
        for (long now = 8000; now < 8000 + SubscriberSettings.defaults().stayMillis(); now += 1000) {
            subscriber.received(heartbeat(five, (int) now - 1000), now);
            subscriber.tick(now);
            assertFalse(pair.closed);
        }
        assertEquals(36_000, subscriber.age(37_000).millis(), "last known to be the newest at 1000");
    }

    /**
     * A control machine restarts with an old disk, and offers an older version than the one in force. Another one is
     * tried.
     */
    @Test
    void controlMachineWithAnOldDiskIsReplacedByAnother() {
        Subscriber subscriber = connected(0);
        snapshot(subscriber, PublisherSubscriberPair.version(5), 1000);
        for (long now = 2000; now < 7000; now += 1000) {
            subscriber.received(heartbeat(PublisherSubscriberPair.version(4), 0), now);
            subscriber.tick(now);
        }
        assertTrue(pair.closed);
        assertEquals(5, subscriber.inForce().version().number());
    }

    /** A heartbeat announces a newer version, but the version itself is lost. The subscriber requests it. */
    @Test
    void announcedVersionIsRequestedIfItDoesNotArrive() {
        Subscriber subscriber = connected(0);
        ConfigurationSnapshot five = PublisherSubscriberPair.version(5);
        snapshot(subscriber, five, 1000);
        pair.toPublisher.clear();
        subscriber.received(heartbeat(PublisherSubscriberPair.version(6), 0), 2000);
        subscriber.tick(3000);
        assertEquals(0, pair.toPublisher.size());
        subscriber.tick(3001);
        assertEquals(
                List.of(new DistributionMessage.UpdateRequest(five.version(), five.digest(), false)),
                List.copyOf(pair.toPublisher));
    }

    /**
     * A control machine sends heartbeats, but does not receive requests. After two requests the subscriber disconnects.
     */
    @Test
    void subscriberDisconnectsAfterTwoUnansweredRequests() {
        Subscriber subscriber = connected(0);
        for (long now = 2000; now <= 9000; now += 1000) {
            subscriber.received(heartbeat(PublisherSubscriberPair.version(6), 0), now);
            subscriber.tick(now + 1);
        }
        assertEquals(
                2,
                pair.toPublisher.stream()
                        .filter(DistributionMessage.UpdateRequest.class::isInstance)
                        .count());
        assertTrue(pair.closed);
    }

    @Test
    void subscriberRetriesAfterTheRequestedDelayAndNotBefore() {
        Subscriber subscriber = connected(0);
        subscriber.received(heartbeat(PublisherSubscriberPair.version(6), 0), 2000);
        subscriber.received(new DistributionMessage.RetryAfter(5000), 2000);
        for (long now = 3000; now <= 7000; now += 1000) {
            subscriber.received(heartbeat(PublisherSubscriberPair.version(6), 0), now);
            subscriber.tick(now);
        }
        assertFalse(pair.toPublisher.stream().anyMatch(DistributionMessage.UpdateRequest.class::isInstance));
        subscriber.tick(7001);
        assertTrue(pair.toPublisher.stream().anyMatch(DistributionMessage.UpdateRequest.class::isInstance));
    }

    @Test
    void backoffGrowsToItsLimitAndIsRandom() {
        SubscriberSettings settings = SubscriberSettings.defaults();
        ControlMachineSelector selector = new ControlMachineSelector(
                List.of(PublisherSubscriberPair.NEAR, PublisherSubscriberPair.FAR),
                "r1",
                settings,
                new java.util.Random(3));
        Set<Integer> drawn = new java.util.TreeSet<>();
        int longest = 0;
        for (int i = 0; i < 100; i++) {
            int backoff = selector.nextBackoffMillis();
            assertTrue(backoff <= Math.min(settings.maxBackoffMillis(), 200L << Math.min(i, 20)), i + ": " + backoff);
            longest = Math.max(longest, backoff);
            drawn.add(backoff);
        }
        assertTrue(longest > settings.maxBackoffMillis() / 2, "grew to " + longest);
        assertTrue(drawn.size() > 50, "drawn: " + drawn);
    }
}
