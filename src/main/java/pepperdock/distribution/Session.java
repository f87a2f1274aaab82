package pepperdock.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * One connection of a publisher: the subscriber, what it has in force, and what waits to be sent to it. Owned by the thread that
 * calls {@link Publisher}.
 */
final class Session {

    final long connection;
    private final ByteBudget budget;
    private final Deque<Message.FromPublisher> queue = new ArrayDeque<>();
    /** Null before the first message. */
    private SubscriberId id;

    private int reads;

    private Version inForce = Version.NONE;
    private Digest digest = Configuration.NONE.digest();
    private Durability durability = Durability.MEMORY_ONLY;
    private long since;
    private Refusal refusal;
    /** The version that was sent and not answered; null where there is none. */
    private Version unanswered;

    private long unansweredSince;
    /** The snapshot that is being sent; null where there is none. */
    private SnapshotTransfer transfer;
    /** It was told to retry later, and has not yet. */
    boolean waiting;

    long lastHeard;
    long heartbeatAt;

    Session(long connection, PublisherSettings settings, long now) {
        this.connection = connection;
        budget = new ByteBudget(settings.subscriberBytesPerSecond(), settings.subscriberBurstBytes(), now);
        lastHeard = now;
        heartbeatAt = now;
        since = now;
    }

    boolean known() {
        return id != null;
    }

    void introduced(Message.Hello hello, long now) {
        id = hello.from();
        reads = hello.reads();
        inForce(hello.inForce(), hello.digest(), hello.durability(), now);
    }

    void inForce(Version version, Digest as, Durability on, long now) {
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
    void asked(Version version, Digest as, long now) {
        inForce(version, as, durability, now);
        unanswered = null;
    }

    /** The highest format that the subscriber reads. */
    int reads() {
        return reads;
    }

    Version inForce() {
        return inForce;
    }

    Digest digest() {
        return digest;
    }

    boolean hasRefused(Version version) {
        return refusal != null && refusal.version().equals(version);
    }

    /** Whether something is in flight to it. */
    boolean busy() {
        return unanswered != null || transfer != null || waiting;
    }

    void sent(Version version, long now) {
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

    void enqueue(Message.FromPublisher message) {
        queue.addLast(message);
    }

    boolean idle() {
        return queue.isEmpty();
    }

    /** Takes the next message that the budget allows now; null where there is none. */
    Message.FromPublisher next(long now) {
        Message.FromPublisher first = queue.peekFirst();
        if (first == null || !budget.allows(first.bytes(), now)) {
            return null;
        }
        budget.spend(first.bytes());
        return queue.removeFirst();
    }

    SubscriberState state(Version latest, long now, int answerMillis) {
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
