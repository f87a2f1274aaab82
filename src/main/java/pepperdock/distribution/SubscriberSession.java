package pepperdock.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * One connection of a publisher: the subscriber, what it has in force, and what waits to be sent to it. Owned by the thread that
 * calls {@link Publisher}.
 */
final class SubscriberSession {

    final long connection;
    private final ByteBudget budget;
    private final Deque<DistributionMessage.FromPublisher> queue = new ArrayDeque<>();
    /** Null before the first message. */
    private SubscriberId id;

    private int reads;

    private ConfigurationVersion inForce = ConfigurationVersion.NONE;
    private ConfigurationDigest digest = ConfigurationSnapshot.NONE.digest();
    private Durability durability = Durability.MEMORY_ONLY;
    private long since;
    private Refusal refusal;
    /** The version that was sent and not answered; null where there is none. */
    private ConfigurationVersion unanswered;

    private long unansweredSince;
    /** The snapshot that is being sent; null where there is none. */
    private SnapshotTransfer transfer;
    /** It was told to retry later, and has not yet. */
    boolean waiting;

    long lastHeard;
    long heartbeatAt;

    SubscriberSession(long connection, PublisherSettings settings, long now) {
        this.connection = connection;
        budget = new ByteBudget(settings.subscriberBytesPerSecond(), settings.subscriberBurstBytes(), now);
        lastHeard = now;
        heartbeatAt = now;
        since = now;
    }

    boolean known() {
        return id != null;
    }

    void introduced(DistributionMessage.Hello hello, long now) {
        id = hello.from();
        reads = hello.highestFormat();
        inForce(hello.inForce(), hello.digest(), hello.durability(), now);
    }

    void inForce(ConfigurationVersion version, ConfigurationDigest as, Durability on, long now) {
        if (!version.equals(inForce)) {
            since = now;
        }
        inForce = version;
        digest = as;
        durability = on;
        if (unanswered != null && !unanswered.newerThan(version)) {
            unanswered = null;
        }
    }

    void refused(Refusal refused) {
        refusal = refused;
        if (refused.version().equals(unanswered)) {
            unanswered = null;
        }
    }

    /** The subscriber requests what is newer: whatever was sent before did not help. */
    void asked(ConfigurationVersion version, ConfigurationDigest as, long now) {
        inForce(version, as, durability, now);
        unanswered = null;
    }

    /** The highest format that the subscriber reads. */
    int reads() {
        return reads;
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

    /** Whether something is in flight to it. */
    boolean busy() {
        return unanswered != null || transfer != null || waiting;
    }

    void sent(ConfigurationVersion version, long now) {
        unanswered = version;
        unansweredSince = now;
    }

    void begin(SnapshotTransfer snapshot) {
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

    boolean idle() {
        return queue.isEmpty();
    }

    /** Takes the next message that the budget allows now; null where there is none. */
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
                reads,
                inForce,
                since,
                durability,
                late && behind,
                inForce.newerThan(latest),
                Optional.ofNullable(refusal));
    }
}
