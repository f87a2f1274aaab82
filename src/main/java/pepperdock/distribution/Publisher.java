package pepperdock.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

/**
 * A control machine's side of the distribution: sends every connected subscriber what was settled after the version that it has
 * in force, as a delta or a snapshot, within the budgets of {@link PublisherSettings}. One version is in flight to a subscriber
 * at a time; what is settled meanwhile goes in one delta after the answer.
 *
 * <p>All state belongs to one thread, the caller's. Connections are opened by subscribers and numbered by the caller. Times are
 * milliseconds of the caller's clock.
 */
public class Publisher {

    private static final int MILLIS_PER_SECOND = 1000;
    /** A delta is one message, and no larger on the wire, whatever the burst. */
    private static final int MAX_DELTA_BYTES = 64 << 10;
    /** Sent where this machine has not been confirmed for longer, or never was. */
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
    /** The newest version that any subscriber has reported in force. */
    private ConfigurationVersion newestHeard = ConfigurationVersion.NONE;
    /** The connection after which the next round of snapshot chunks begins: round robin. */
    private long lastServed;

    /**
     * Learns what the source has.
     *
     * @param seed of the jitter
     * @param now as for all other calls
     */
    public Publisher(PublisherSettings settings, VersionSource source, PublisherOutput output, long seed, long now) {
        this.settings = settings;
        this.source = source;
        this.output = output;
        admission = new SnapshotAdmission(settings.snapshotsAtOnce(), new Random(seed));
        snapshotBudget = new ByteBudget(settings.snapshotBytesPerSecond(), settings.snapshotBurstBytes(), now);
        recent = new RecentChanges(settings.keptVersions(), settings.keptBytes());
        learn();
    }

    // ---- State, for the caller ------------------------------------------------------------

    /** The newest version that this control machine holds. */
    public ConfigurationSnapshot latest() {
        return latest;
    }

    /** Every connected subscriber that has introduced itself, in the order of connections. */
    public List<SubscriberState> subscribers(long now) {
        return sessions.values().stream()
                .filter(SubscriberSession::known)
                .map(session -> session.state(latest.version(), now, settings.answerMillis()))
                .toList();
    }

    /** Snapshots that are under way now. */
    public int snapshotsUnderWay() {
        return admission.underWay();
    }

    // ---- Inputs ------------------------------------------------------------

    /** A subscriber has opened a connection. */
    public void connected(long connection, long now) {
        sessions.put(connection, new SubscriberSession(connection, settings, now));
    }

    /** A connection has ended. */
    public void disconnected(long connection) {
        SubscriberSession session = sessions.remove(connection);
        if (session != null) {
            release(session);
        }
    }

    /** The source may have something newer. */
    public void settled(long now) {
        if (learn()) {
            sessions.values().forEach(session -> offer(session, false, now));
            send(now);
        }
    }

    /** Time passes; to be called several times a second. */
    public void tick(long now) {
        learn();
        for (SubscriberSession session : List.copyOf(sessions.values())) {
            if (now - session.lastHeard > settings.silenceMillis()) {
                disconnected(session.connection);
                output.close(session.connection);
                continue;
            }
            offer(session, false, now);
            if (now >= session.heartbeatAt && session.known()) {
                session.enqueue(heartbeat(now));
                session.heartbeatAt = now + settings.heartbeatMillis();
            }
        }
        send(now);
    }

    /** A message has come on a connection. */
    public void received(long connection, DistributionMessage.FromSubscriber message, long now) {
        SubscriberSession session = sessions.get(connection);
        if (session == null) {
            return;
        }
        session.lastHeard = now;
        if (message instanceof DistributionMessage.Hello hello) {
            session.introduced(hello, now);
            newestHeard = hello.inForce().newerThan(newestHeard) ? hello.inForce() : newestHeard;
            offer(session, false, now);
        } else if (message instanceof DistributionMessage.InForce inForce) {
            session.inForce(inForce.version(), inForce.digest(), inForce.durability(), now);
            offer(session, false, now);
        } else if (message instanceof DistributionMessage.Refused refused) {
            refused(session, refused.refusal());
        } else if (message instanceof DistributionMessage.Ask ask) {
            asked(session, ask, now);
        }
        send(now);
    }

    // ---- Safety rules; tests plant faults by overriding them
    // ------------------------------------------------------------

    /** Whether what this machine holds may be offered to a subscriber that has that version in force. */
    protected boolean mayOffer(ConfigurationVersion latestHere, ConfigurationVersion inForceThere) {
        return latestHere.newerThan(inForceThere);
    }

    // ---- Messages ------------------------------------------------------------

    private boolean learn() {
        boolean any = false;
        for (ConfigurationSnapshot next : source.after(latest.version())) {
            recent.add(Delta.between(latest, next));
            latest = next;
            any = true;
        }
        if (any) {
            latestEncoded = latest.encoded();
        }
        return any;
    }

    private DistributionMessage.Heartbeat heartbeat(long now) {
        boolean behind = newestHeard.newerThan(latest.version());
        long ago = behind ? MAX_UNCONFIRMED_MILLIS : Math.max(0, now - source.confirmedAtMillis());
        return new DistributionMessage.Heartbeat(
                latest.version(), latest.digest(), (int) Math.min(ago, MAX_UNCONFIRMED_MILLIS));
    }

    private void asked(SubscriberSession session, DistributionMessage.Ask ask, long now) {
        if (session.waiting) {
            session.waiting = false;
            admission.returned();
        }
        if (session.transfer() == null) {
            session.asked(ask.inForce(), ask.digest(), now);
            offer(session, ask.asSnapshot(), now);
        }
    }

    private void refused(SubscriberSession session, Refusal refusal) {
        session.refused(refusal);
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
        if (session.waiting) {
            session.waiting = false;
            admission.returned();
        }
    }

    /** Begins to send what the subscriber lacks, unless something is in flight to it. */
    private void offer(SubscriberSession session, boolean whole, long now) {
        if (!session.known()
                || session.busy()
                || session.hasRefused(latest.version())
                || !mayOffer(latest.version(), session.inForce())) {
            return;
        }
        Optional<Delta> delta = whole ? Optional.empty() : step(session);
        if (delta.isPresent()) {
            session.enqueue(new DistributionMessage.Update(delta.get()));
            session.sent(delta.get().result(), now);
        } else if (admission.admits()) {
            session.begin(new SnapshotTransfer(latest, latestEncoded, settings.pieceBytes()));
        } else {
            session.enqueue(new DistributionMessage.RetryAfter(admission.retryAfterMillis(snapshotMillis())));
            session.waiting = true;
        }
    }

    /**
     * The next delta for a subscriber: to the newest version, or as far as may be sent at once, the rest after the answer.
     * Empty where the snapshot is to be sent: the deltas would be too large beside it, or are not kept any more.
     */
    private Optional<Delta> step(SubscriberSession session) {
        Optional<Delta> all = recent.since(session.inForce(), session.digest());
        long maxBytes = (long) latestEncoded.length * settings.deltaPercent() / 100;
        if (all.isEmpty() || all.get().bytes() > maxBytes) {
            return Optional.empty();
        }
        int atOnce = Math.min(MAX_DELTA_BYTES, settings.subscriberBurstBytes() - DistributionMessage.OVERHEAD);
        if (all.get().bytes() <= atOnce) {
            return all;
        }
        return recent.since(session.inForce(), session.digest(), atOnce, session.reads())
                .filter(delta -> !session.hasRefused(delta.result()));
    }

    /** How long a snapshot takes at the rate of one subscriber, or at that of all that may be under way. */
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
            if (session.transfer() != null && !pieces(session, now)) {
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

    /** Sends chunks while the subscriber's budget lasts; false once that of all snapshots is spent. */
    private boolean pieces(SubscriberSession session, long now) {
        while (session.transfer() != null && session.idle()) {
            if (!snapshotBudget.allows(settings.pieceBytes(), now)) {
                return false;
            }
            SnapshotTransfer transfer = session.transfer();
            DistributionMessage.SnapshotPiece piece = transfer.next();
            snapshotBudget.spend(piece.bytes());
            lastServed = session.connection;
            session.enqueue(piece);
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
