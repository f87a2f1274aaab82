package pepperdock.distribution;

import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * The gatherer's side of the distribution: receives settled versions from one control machine at a time, puts each in force
 * whole or not at all, and never one that is older than any it had in force. Without a control machine it goes on with the last
 * version, and reports how old that is.
 *
 * <p>All state belongs to one thread, the caller's. Times are milliseconds of the caller's clock. The connection is
 * {@link ControlConnection}'s, and what is in force {@link InForceConfiguration}'s; the messages between them are handled here.
 */
public class Subscriber {

    /** After so many requests without an answer the control machine is left: it may not hear this subscriber. */
    private static final int MAX_UNANSWERED_REQUESTS = 2;
    /** Of snapshots; a larger total is not trusted. */
    private static final int MAX_SNAPSHOT_BYTES = 16 << 20;

    private final SubscriberId id;
    private final SubscriberSettings settings;
    private final ConfigurationValidator validator;
    private final SubscriberOutput output;
    private final ControlMachineSelector selector;
    private final ControlConnection connection;
    private final InForceConfiguration inForce;

    /** Null where there was none. */
    private Refusal refusal;

    private long lastHeard;
    /** The newest version that the control machine has offered. */
    private ConfigurationVersion offered = ConfigurationVersion.NONE;
    /** When that was last known to be the newest. */
    private long offeredConfirmedAt;
    /** Whether all control machines were tried in vain, so that this one is kept for a while. */
    private boolean stays;

    private long stayUntil;
    private long lastProgress;
    private int unansweredRequests;
    private long aliveAt;
    /** The snapshot that is being received; null where there is none. */
    private SnapshotAssembly assembly;
    /** Whether a snapshot has to be requested, as a delta did not fit. */
    private boolean needsSnapshot;
    /** The version in force was the newest at this time; the subscriber's start where that is not known. */
    private long currentAt;

    private boolean everCurrent;

    /**
     * Loads what the store holds, and puts it in force.
     *
     * @param seed of the backoff and the order of control machines
     * @param now as for all other calls
     */
    public Subscriber(
            SubscriberIdentity self,
            List<ControlMachine> machines,
            SubscriberSettings settings,
            VersionStore store,
            ConfigurationValidator validator,
            SubscriberOutput output,
            long seed,
            long now) {
        id = self.id();
        this.settings = settings;
        this.validator = validator;
        this.output = output;
        Random random = new Random(seed);
        selector = new ControlMachineSelector(machines, self.region(), settings, random);
        currentAt = now;
        long firstAttemptAt = now + random.nextInt(settings.backOffMillis());
        connection = new ControlConnection(selector, output, settings.connectMillis(), firstAttemptAt);
        inForce = new InForceConfiguration(store, settings.saveAgainMillis());
        if (!inForce.version().equals(ConfigurationVersion.NONE)) {
            output.inForce(inForce.configuration());
        }
    }

    // ---- State, for the caller ------------------------------------------------------------

    /** What is in force; {@link ConfigurationSnapshot#NONE} where nothing is. */
    public ConfigurationSnapshot inForce() {
        return inForce.configuration();
    }

    /** What the disk holds of it. */
    public Durability durability() {
        return inForce.durability();
    }

    /** The last refusal, if there was one since the start. */
    public Optional<Refusal> refusal() {
        return Optional.ofNullable(refusal);
    }

    /** Whether a version newer than the one on the disk was in force before the restart, so that nothing is until it comes. */
    public boolean heldBack() {
        return inForce.heldBack();
    }

    /** The control machine that it is connected to, if it is. */
    public Optional<ControlMachine> machine() {
        return connection.machine();
    }

    /** How old the version in force is. */
    public ConfigurationAge age(long now) {
        return new ConfigurationAge(Math.max(0, now - currentAt), !everCurrent);
    }

    // ---- Inputs ------------------------------------------------------------

    /** Time passes; to be called several times a second. */
    public void tick(long now) {
        if (inForce.retrySave(now) && connection.connected()) {
            reportInForce();
        }
        if (connection.connected()) {
            connectedTick(now);
        } else if (connection.tick(now)) {
            assembly = null;
        }
    }

    /** The connection is open. */
    public void connected(long now) {
        connection.opened();
        lastHeard = now;
        lastProgress = now;
        offered = ConfigurationVersion.NONE;
        offeredConfirmedAt = now;
        unansweredRequests = 0;
        stays = selector.roundOver();
        stayUntil = now + settings.stayMillis();
        aliveAt = now + settings.aliveMillis();
        assembly = null;
        output.send(new DistributionMessage.Hello(
                id, settings.reads(), inForce.version(), inForce.digest(), inForce.durability()));
        if (refusal != null && !inForce.version().newerThan(refusal.version())) {
            output.send(new DistributionMessage.Refused(refusal));
        }
    }

    /** The connection has ended, or could not be opened. */
    public void disconnected(long now) {
        assembly = null;
        connection.backOff(now);
    }

    /** A message has come on the connection. */
    public void received(DistributionMessage.FromPublisher message, long now) {
        lastHeard = now;
        selector.onAnswer();
        if (message instanceof DistributionMessage.Heartbeat heartbeat) {
            onHeartbeat(heartbeat, now);
        } else if (message instanceof DistributionMessage.Update update) {
            onUpdate(update.delta(), now);
        } else if (message instanceof DistributionMessage.SnapshotPiece piece) {
            onSnapshotPiece(piece, now);
        } else if (message instanceof DistributionMessage.RetryAfter later) {
            madeProgress(now + later.millis() - settings.lagMillis());
        }
    }

    // ---- Safety rules; tests plant faults by overriding them
    // ------------------------------------------------------------

    /** Whether a version may follow on the one in force. */
    protected boolean mayFollow(ConfigurationVersion next) {
        return next.newerThan(inForce.version()) && !inForce.floor().newerThan(next);
    }

    /** Whether the result is what was settled. */
    protected boolean intact(ConfigurationSnapshot result, ConfigurationDigest settled) {
        return result.digest().equals(settled);
    }

    /** What comes of the version in force by these changes. */
    protected ConfigurationSnapshot applied(ConfigurationSnapshot base, Delta delta) {
        return base.with(delta.result(), delta.format(), delta.changes());
    }

    /** Whether the control machine has been silent for too long. */
    protected boolean tooSilent(long silentMillis) {
        return silentMillis > settings.silenceMillis();
    }

    /** Whether what the control machine holds has not been known to be the newest for too long. */
    protected boolean tooLongUnconfirmed(long unconfirmedMillis) {
        return unconfirmedMillis > settings.staleMillis();
    }

    // ---- The control machine ------------------------------------------------------------

    private void connectedTick(long now) {
        if (tooSilent(now - lastHeard)) {
            leave(now);
            return;
        }
        boolean unconfirmed = tooLongUnconfirmed(now - offeredConfirmedAt)
                || inForce.version().newerThan(offered);
        if (unconfirmed && now - lastProgress > settings.staleMillis() && !(stays && now < stayUntil)) {
            leave(now);
            return;
        }
        if (lagsBehindOffer() && now - lastProgress > settings.lagMillis()) {
            if (unansweredRequests == MAX_UNANSWERED_REQUESTS) {
                leave(now);
                return;
            }
            requestNewer(now);
        }
        if (now >= aliveAt) {
            reportInForce();
            aliveAt = now + settings.aliveMillis();
        }
    }

    private void leave(long now) {
        assembly = null;
        connection.leave(now);
    }

    private void onHeartbeat(DistributionMessage.Heartbeat heartbeat, long now) {
        offered = heartbeat.latest();
        offeredConfirmedAt = now - heartbeat.confirmedMillisAgo();
        boolean confirmed = heartbeat.confirmedMillisAgo() <= settings.staleMillis();
        boolean sameVersion = offered.equals(inForce.version());
        if (confirmed && !inForce.version().newerThan(offered)) {
            selector.onUpToDate();
        }
        if (sameVersion && !heartbeat.digest().equals(inForce.digest())) {
            onConflict(heartbeat);
        } else if (sameVersion && offeredConfirmedAt >= currentAt) {
            currentAt = offeredConfirmedAt;
            everCurrent = true;
        }
    }

    /** The control machine holds the version in force with another content. */
    private void onConflict(DistributionMessage.Heartbeat heartbeat) {
        Refusal conflict = new Refusal(offered, Refusal.Reason.CONFLICT, "other content: " + heartbeat.digest());
        if (!conflict.equals(refusal)) {
            refuse(conflict);
        }
    }

    private boolean lagsBehindOffer() {
        return mayFollow(offered) && (refusal == null || !refusal.version().equals(offered));
    }

    private void madeProgress(long now) {
        lastProgress = now;
        unansweredRequests = 0;
    }

    private void requestNewer(long now) {
        unansweredRequests++;
        lastProgress = now;
        output.send(new DistributionMessage.Ask(inForce.version(), inForce.digest(), needsSnapshot));
    }

    private void requestSnapshot(long now) {
        needsSnapshot = true;
        requestNewer(now);
    }

    private void reportInForce() {
        output.send(new DistributionMessage.InForce(inForce.version(), inForce.digest(), inForce.durability()));
    }

    // ---- Versions ------------------------------------------------------------

    private void onUpdate(Delta delta, long now) {
        madeProgress(now);
        if (!mayFollow(delta.result()) || !readable(delta.result(), delta.format())) {
            return;
        }
        ConfigurationSnapshot base = inForce.configuration();
        ConfigurationSnapshot result = delta.fits(base) ? applied(base, delta) : null;
        if (result == null || !intact(result, delta.digest())) {
            requestSnapshot(now);
            return;
        }
        putInForce(result, now);
    }

    private void onSnapshotPiece(DistributionMessage.SnapshotPiece piece, long now) {
        madeProgress(now);
        if (piece.offset() == 0) {
            boolean wanted = mayFollow(piece.version()) && readable(piece.version(), piece.format());
            boolean possible = piece.total() >= 0 && piece.total() <= MAX_SNAPSHOT_BYTES;
            assembly = wanted && possible ? new SnapshotAssembly(piece) : null;
        }
        if (assembly == null || !assembly.add(piece) || !assembly.complete()) {
            return;
        }
        SnapshotAssembly complete = assembly;
        assembly = null;
        ConfigurationSnapshot result = decode(complete);
        if (result == null || !intact(result, complete.digest())) {
            requestSnapshot(now);
            return;
        }
        putInForce(result, now);
    }

    /** Null where the bytes are no configuration. */
    private static ConfigurationSnapshot decode(SnapshotAssembly complete) {
        try {
            return ConfigurationCodec.read(complete.bytes());
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private boolean readable(ConfigurationVersion version, int format) {
        if (format <= settings.reads()) {
            return true;
        }
        refuse(new Refusal(
                version, Refusal.Reason.FORMAT, "format " + format + ", this reads up to " + settings.reads()));
        return false;
    }

    private void refuse(Refusal refused) {
        refusal = refused;
        output.send(new DistributionMessage.Refused(refused));
    }

    private void putInForce(ConfigurationSnapshot next, long now) {
        Optional<String> complaint = validator.complaint(next);
        if (complaint.isPresent()) {
            refuse(new Refusal(next.version(), Refusal.Reason.INVALID, complaint.get()));
            return;
        }
        needsSnapshot = false;
        inForce.replace(next, now);
        output.inForce(next);
        reportInForce();
    }
}
