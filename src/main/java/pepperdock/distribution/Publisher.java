package pepperdock.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

/**
 * The control machine's side of the distribution: sends each connected subscriber the versions committed after the one
 * that it has in force, as a delta or a snapshot, within the budgets of {@link PublisherSettings}. One version is in
 * flight to a subscriber at a time; versions committed meanwhile are sent in one delta after the answer.
 *
 * <p>Not thread-safe: used by a single thread only. Subscribers open the connections and the caller numbers them. Times
 * are in milliseconds of the caller's clock.
 */
public class Publisher {

    private static final int MILLIS_PER_SECOND = 1000;
    /** A delta is sent as one message, which is no larger than this even if the burst is. */
    private static final int MAX_DELTA_BYTES = 64 << 10;
    /** Reported in heartbeats if this machine was last confirmed longer ago or never, or is known to be behind. */
    private static final int MAX_UNCONFIRMED_MILLIS = 86_400_000;

    private final PublisherSettings settings;
    private final VersionSource source;
    private final PublisherOutput output;
    private final SnapshotAdmission admission;
    private final ByteBudget snapshotBudget;
    private final RecentChanges recent;
    private final TreeMap<Long, SubscriberSession> sessions = new TreeMap<>();
    private ConfigurationSnapshot latest = ConfigurationSnapshot.NONE;
    private byte[] latestEncoded = latest.encoded();
    /** The newest version that any subscriber has reported in force when it introduced itself. */
    private ConfigurationVersion newestReported = ConfigurationVersion.NONE;
    /** The connection that was last sent a snapshot chunk; the next round starts after it (round robin). */
    private long lastServed;

    /**
     * Creates a publisher and loads the versions that the source has.
     *
     * @param seed the seed of the retry jitter
     * @param now the current time, as for all other calls
     */
    public Publisher(PublisherSettings settings, VersionSource source, PublisherOutput output, long seed, long now) {
        this.settings = settings;
        this.source = source;
        this.output = output;
        admission = new SnapshotAdmission(settings.snapshotsAtOnce(), new Random(seed));
        snapshotBudget = new ByteBudget(settings.snapshotBytesPerSecond(), settings.snapshotBurstBytes(), now);
        recent = new RecentChanges(settings.keptVersions(), settings.keptBytes());
        loadNewVersions();
    }

    // ---- State ------------------------------------------------------------

    /** Returns the newest configuration that this control machine holds. */
    public ConfigurationSnapshot latest() {
        return latest;
    }

    /**
     * Returns the state of each connected subscriber that has introduced itself, in the order of connection numbers.
     */
    public List<SubscriberState> subscribers(long now) {
        return sessions.values().stream()
                .filter(SubscriberSession::introduced)
                .map(session -> session.state(latest.version(), now, settings.answerMillis()))
                .toList();
    }

    /** Returns the number of snapshots that are being transferred. */
    public int snapshotsUnderWay() {
        return admission.underWay();
    }

    // ---- Inputs ------------------------------------------------------------

    /** Handles a connection that a subscriber has opened. */
    public void connected(long connection, long now) {
        sessions.put(connection, new SubscriberSession(connection, settings, now));
    }

    /** Handles the end of a connection. */
    public void disconnected(long connection) {
        SubscriberSession session = sessions.remove(connection);
        if (session != null) {
            release(session);
        }
    }

    /** Loads newer versions from the source, if there are any, and offers them to the subscribers. */
    public void onCommitted(long now) {
        if (loadNewVersions()) {
            sessions.values().forEach(session -> offer(session, false, now));
            send(now);
        }
    }

    /** Handles timeouts, offers and heartbeats that are due; must be called several times a second. */
    public void tick(long now) {
        loadNewVersions();
        for (SubscriberSession session : List.copyOf(sessions.values())) {
            if (now - session.lastHeard > settings.silenceMillis()) {
                disconnected(session.connection);
                output.close(session.connection);
                continue;
            }
            offer(session, false, now);
            if (now >= session.heartbeatAt && session.introduced()) {
                session.enqueue(heartbeat(now));
                session.heartbeatAt = now + settings.heartbeatMillis();
            }
        }
        send(now);
    }

    /** Handles a message received on a connection. */
    public void received(long connection, DistributionMessage.FromSubscriber message, long now) {
        SubscriberSession session = sessions.get(connection);
        if (session == null) {
            return;
        }
        session.lastHeard = now;
        if (message instanceof DistributionMessage.Hello hello) {
            session.onHello(hello, now);
            newestReported = hello.inForce().newerThan(newestReported) ? hello.inForce() : newestReported;
            offer(session, false, now);
        } else if (message instanceof DistributionMessage.InForce inForce) {
            session.onInForce(inForce.version(), inForce.digest(), inForce.durability(), now);
            offer(session, false, now);
        } else if (message instanceof DistributionMessage.Refused refused) {
            onRefused(session, refused.refusal());
        } else if (message instanceof DistributionMessage.UpdateRequest request) {
            onRequest(session, request, now);
        }
        send(now);
    }

    // ---- Safety rules, which tests override to inject faults
    // ------------------------------------------------------------

    /**
     * Returns whether this machine's latest version may be offered to a subscriber that has another version in force.
     */
    protected boolean mayOffer(ConfigurationVersion latestHere, ConfigurationVersion inForceThere) {
        return latestHere.newerThan(inForceThere);
    }

    // ---- Messages ------------------------------------------------------------

    /** Loads the versions newer than the latest one from the source; returns whether there were any. */
    private boolean loadNewVersions() {
        boolean found = false;
        for (ConfigurationSnapshot next : source.after(latest.version())) {
            recent.add(Delta.between(latest, next));
            latest = next;
            found = true;
        }
        if (found) {
            latestEncoded = latest.encoded();
        }
        return found;
    }

    private DistributionMessage.Heartbeat heartbeat(long now) {
        boolean behind = newestReported.newerThan(latest.version());
        long confirmedMillisAgo = behind ? MAX_UNCONFIRMED_MILLIS : Math.max(0, now - source.confirmedAtMillis());
        return new DistributionMessage.Heartbeat(
                latest.version(), latest.digest(), (int) Math.min(confirmedMillisAgo, MAX_UNCONFIRMED_MILLIS));
    }

    private void onRequest(SubscriberSession session, DistributionMessage.UpdateRequest request, long now) {
        if (session.waitingToRetry) {
            session.waitingToRetry = false;
            admission.returned();
        }
        if (session.transfer() == null) {
            session.onRequest(request.inForce(), request.digest(), now);
            offer(session, request.asSnapshot(), now);
        }
    }

    private void onRefused(SubscriberSession session, Refusal refusal) {
        session.onRefused(refusal);
        SnapshotTransfer transfer = session.transfer();
        if (transfer != null && transfer.version().equals(refusal.version())) {
            session.endTransfer();
            admission.finished();
        }
    }

    private void release(SubscriberSession session) {
        if (session.transfer() != null) {
            session.endTransfer();
            admission.finished();
        }
        if (session.waitingToRetry) {
            session.waitingToRetry = false;
            admission.returned();
        }
    }

    /** Starts to send the versions that the subscriber lacks, unless a transfer, an answer or a retry is pending. */
    private void offer(SubscriberSession session, boolean asSnapshot, long now) {
        if (!session.introduced()
                || session.busy()
                || session.hasRefused(latest.version())
                || !mayOffer(latest.version(), session.inForce())) {
            return;
        }
        Optional<Delta> delta = asSnapshot ? Optional.empty() : nextDelta(session);
        if (delta.isPresent()) {
            session.enqueue(new DistributionMessage.Update(delta.get()));
            session.sent(delta.get().result(), now);
        } else if (admission.tryAdmit()) {
            session.startTransfer(new SnapshotTransfer(latest, latestEncoded, settings.chunkBytes()));
        } else {
            session.enqueue(new DistributionMessage.RetryAfter(admission.retryAfterMillis(snapshotMillis())));
            session.waitingToRetry = true;
        }
    }

    /**
     * Returns the next delta for a subscriber: to the newest version, or as far as one burst allows, with the rest to
     * follow after the answer. Empty if the snapshot has to be sent instead, because the deltas would be too large
     * compared with it or are no longer kept.
     */
    private Optional<Delta> nextDelta(SubscriberSession session) {
        Optional<Delta> all = recent.since(session.inForce(), session.digest());
        long maxBytes = (long) latestEncoded.length * settings.deltaPercent() / 100;
        if (all.isEmpty() || all.get().bytes() > maxBytes) {
            return Optional.empty();
        }
        int maxMessageBytes = Math.min(MAX_DELTA_BYTES, settings.subscriberBurstBytes() - DistributionMessage.OVERHEAD);
        if (all.get().bytes() <= maxMessageBytes) {
            return all;
        }
        return recent.since(session.inForce(), session.digest(), maxMessageBytes, session.highestFormat())
                .filter(delta -> !session.hasRefused(delta.result()));
    }

    /**
     * Returns how long a snapshot takes at one subscriber's rate or its share of the snapshot rate, whichever is lower.
     */
    private int snapshotMillis() {
        int share = settings.snapshotBytesPerSecond() / settings.snapshotsAtOnce();
        int rate = Math.min(settings.subscriberBytesPerSecond(), share);
        return (int) ((long) latestEncoded.length * MILLIS_PER_SECOND / rate);
    }

    private void send(long now) {
        for (SubscriberSession session : sessions.values()) {
            drain(session, now);
        }
        List<SubscriberSession> order =
                new ArrayList<>(sessions.tailMap(lastServed, false).values());
        order.addAll(sessions.headMap(lastServed, true).values());
        for (SubscriberSession session : order) {
            if (session.transfer() != null && !sendChunks(session, now)) {
                return;
            }
        }
    }

    private void drain(SubscriberSession session, long now) {
        for (DistributionMessage.FromPublisher message = session.next(now);
                message != null;
                message = session.next(now)) {
            output.send(session.connection, message);
        }
    }

    /** Sends chunks while the subscriber's budget lasts; returns false once the budget of all snapshots is spent. */
    private boolean sendChunks(SubscriberSession session, long now) {
        while (session.transfer() != null && session.queueEmpty()) {
            if (!snapshotBudget.allows(settings.chunkBytes(), now)) {
                return false;
            }
            SnapshotTransfer transfer = session.transfer();
            DistributionMessage.SnapshotChunk chunk = transfer.next();
            snapshotBudget.spend(chunk.bytes());
            lastServed = session.connection;
            session.enqueue(chunk);
            if (transfer.done()) {
                session.endTransfer();
                session.sent(transfer.version(), now);
                admission.finished();
            }
            drain(session, now);
        }
        return true;
    }
}
