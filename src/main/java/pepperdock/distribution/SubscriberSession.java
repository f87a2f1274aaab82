package pepperdock.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * One connection of a publisher: the subscriber, the version that it has in force, and the messages queued for it. Not
 * thread-safe: used only by the thread that calls {@link Publisher}.
 */
final class SubscriberSession {

    final long connection;
    private final ByteBudget budget;
    private final Deque<DistributionMessage.FromPublisher> queue = new ArrayDeque<>();
    /** Null until the subscriber has introduced itself. */
    private SubscriberId id;

    /** The highest format that the subscriber reads. */
    private int highestFormat;

    private ConfigurationVersion inForce = ConfigurationVersion.NONE;
    private ConfigurationDigest digest = ConfigurationSnapshot.NONE.digest();
    private Durability durability = Durability.MEMORY_ONLY;
    private long inForceSince;
    private Refusal refusal;
    /** The version that was sent and not answered yet; null if there is none. */
    private ConfigurationVersion unanswered;

    private long unansweredSince;
    /** The snapshot that is being sent; null if there is none. */
    private SnapshotTransfer transfer;
    /** Whether the subscriber was told to retry later and has not retried yet. */
    boolean waitingToRetry;

    long lastHeard;
    long heartbeatAt;

    SubscriberSession(long connection, PublisherSettings settings, long now) {
        this.connection = connection;
        budget = new ByteBudget(settings.subscriberBytesPerSecond(), settings.subscriberBurstBytes(), now);
        lastHeard = now;
        heartbeatAt = now;
        inForceSince = now;
    }

    boolean introduced() {
        return id != null;
    }

    void onHello(DistributionMessage.Hello hello, long now) {
        id = hello.from();
        highestFormat = hello.highestFormat();
        onInForce(hello.inForce(), hello.digest(), hello.durability(), now);
    }

    void onInForce(ConfigurationVersion version, ConfigurationDigest newDigest, Durability newDurability, long now) {
        if (!version.equals(inForce)) {
            inForceSince = now;
        }
        inForce = version;
        digest = newDigest;
        durability = newDurability;
        if (unanswered != null && !unanswered.newerThan(version)) {
            unanswered = null;
        }
    }

    void onRefused(Refusal refused) {
        refusal = refused;
        if (refused.version().equals(unanswered)) {
            unanswered = null;
        }
    }

    /** Handles a request for a newer version: whatever was sent before had no effect. */
    void onRequest(ConfigurationVersion version, ConfigurationDigest newDigest, long now) {
        onInForce(version, newDigest, durability, now);
        unanswered = null;
    }

    /** Returns the highest format that the subscriber reads. */
    int highestFormat() {
        return highestFormat;
    }

    ConfigurationVersion inForce() {
        return inForce;
    }

    ConfigurationDigest digest() {
        return digest;
    }

    boolean hasRefused(ConfigurationVersion version) {
        return refusal != null && refusal.version().equals(version);
    }

    /** Returns whether an answer, a transfer or a retry of the subscriber is pending. */
    boolean busy() {
        return unanswered != null || transfer != null || waitingToRetry;
    }

    void sent(ConfigurationVersion version, long now) {
        unanswered = version;
        unansweredSince = now;
    }

    void startTransfer(SnapshotTransfer snapshot) {
        transfer = snapshot;
    }

    SnapshotTransfer transfer() {
        return transfer;
    }

    void endTransfer() {
        transfer = null;
    }

    void enqueue(DistributionMessage.FromPublisher message) {
        queue.addLast(message);
    }

    boolean queueEmpty() {
        return queue.isEmpty();
    }

    /** Removes and returns the next message that the budget allows now; null if there is none. */
    DistributionMessage.FromPublisher next(long now) {
        DistributionMessage.FromPublisher first = queue.peekFirst();
        if (first == null || !budget.allows(first.bytes(), now)) {
            return null;
        }
        budget.spend(first.bytes());
        return queue.removeFirst();
    }

    SubscriberState state(ConfigurationVersion latest, long now, int answerMillis) {
        boolean late = unanswered != null && now - unansweredSince > answerMillis;
        boolean behind = latest.newerThan(inForce) && !hasRefused(latest);
        return new SubscriberState(
                id,
                highestFormat,
                inForce,
                inForceSince,
                durability,
                late && behind,
                inForce.newerThan(latest),
                Optional.ofNullable(refusal));
    }
}
