package pepperdock.distribution;

import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * The gatherer's side of the distribution: receives committed versions from one control machine at a time, puts each in
 * force completely or not at all, and never one that is older than any it had in force. Without a control machine it
 * continues with the last version, and reports how old that is.
 *
 * <p>Not thread-safe: used by a single thread only. Times are in milliseconds of the caller's clock.
 * {@link ControlConnection} manages the connection and {@link InForceConfiguration} the configuration in force; this
 * class handles the messages.
 */
public class Subscriber {

    /**
     * After this many unanswered requests the subscriber switches to another control machine: this one may not receive
     * them.
     */
    private static final int MAX_UNANSWERED_REQUESTS = 2;
    /** The size limit of a snapshot; one with a larger total is ignored. */
    private static final int MAX_SNAPSHOT_BYTES = 16 << 20;

    private final SubscriberId id;
    private final SubscriberSettings settings;
    private final ConfigurationValidator validator;
    private final SubscriberOutput output;
    private final ControlMachineSelector selector;
    private final ControlConnection connection;
    private final InForceConfiguration inForce;

    /** The last refusal; null if there was none. */
    private Refusal refusal;

    private long lastHeard;
    /** The newest version that the control machine has offered. */
    private ConfigurationVersion offered = ConfigurationVersion.NONE;
    /** When the offered version was last known to be the newest. */
    private long offeredConfirmedAt;
    /** Whether all control machines were tried without success, so that this one is kept until {@code stayUntil}. */
    private boolean stays;

    private long stayUntil;
    private long lastProgress;
    private int unansweredRequests;
    private long heartbeatAt;
    /** The snapshot that is being received; null if there is none. */
    private SnapshotAssembly assembly;
    /** Whether a snapshot has to be requested, because a delta could not be applied or a snapshot was not intact. */
    private boolean needsSnapshot;
    /** When the version in force was last known to be the newest; the start of the subscriber if it never was. */
    private long currentAt;

    private boolean everCurrent;

    /**
     * Creates a subscriber, loads the configuration that the store holds, and puts it in force.
     *
     * @param seed the seed of the backoff and of the order of the control machines
     * @param now the current time, as for all other calls
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
        long firstAttemptAt = now + random.nextInt(settings.initialBackoffMillis());
        connection = new ControlConnection(selector, output, settings.connectMillis(), firstAttemptAt);
        inForce = new InForceConfiguration(store, settings.saveRetryMillis());
        if (!inForce.version().equals(ConfigurationVersion.NONE)) {
            output.inForce(inForce.configuration());
        }
    }

    // ---- State ------------------------------------------------------------

    /** Returns the configuration in force; {@link ConfigurationSnapshot#NONE} if there is none. */
    public ConfigurationSnapshot inForce() {
        return inForce.configuration();
    }

    /** Returns how much of the configuration in force is on the disk. */
    public Durability durability() {
        return inForce.durability();
    }

    /** Returns the last refusal since the start, if any. */
    public Optional<Refusal> refusal() {
        return Optional.ofNullable(refusal);
    }

    /**
     * Returns whether nothing is in force because a newer version than the saved one was in force before the restart.
     * This lasts until that version or a newer one is received.
     */
    public boolean heldBack() {
        return inForce.heldBack();
    }

    /** Returns the control machine that the subscriber is connected to, if any. */
    public Optional<ControlMachine> machine() {
        return connection.machine();
    }

    /** Returns the age of the version in force. */
    public ConfigurationAge age(long now) {
        return new ConfigurationAge(Math.max(0, now - currentAt), !everCurrent);
    }

    // ---- Inputs ------------------------------------------------------------

    /** Handles timeouts, retries and heartbeats that are due; must be called several times a second. */
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

    /** Handles the opening of the connection. */
    public void connected(long now) {
        connection.opened();
        lastHeard = now;
        lastProgress = now;
        offered = ConfigurationVersion.NONE;
        offeredConfirmedAt = now;
        unansweredRequests = 0;
        stays = selector.roundOver();
        stayUntil = now + settings.stayMillis();
        heartbeatAt = now + settings.heartbeatMillis();
        assembly = null;
        output.send(new DistributionMessage.Hello(
                id, settings.highestFormat(), inForce.version(), inForce.digest(), inForce.durability()));
        if (refusal != null && !inForce.version().newerThan(refusal.version())) {
            output.send(new DistributionMessage.Refused(refusal));
        }
    }

    /** Handles the end of the connection, or the failure to open it. */
    public void disconnected(long now) {
        assembly = null;
        connection.backOff(now);
    }

    /** Handles a message received on the connection. */
    public void received(DistributionMessage.FromPublisher message, long now) {
        lastHeard = now;
        selector.onAnswer();
        if (message instanceof DistributionMessage.Heartbeat heartbeat) {
            onHeartbeat(heartbeat, now);
        } else if (message instanceof DistributionMessage.Update update) {
            onUpdate(update.delta(), now);
        } else if (message instanceof DistributionMessage.SnapshotChunk chunk) {
            onSnapshotChunk(chunk, now);
        } else if (message instanceof DistributionMessage.RetryAfter retryAfter) {
            madeProgress(now + retryAfter.millis() - settings.lagMillis());
        }
    }

    // ---- Safety rules, which tests override to inject faults
    // ------------------------------------------------------------

    /** Returns whether a version may replace the one in force. */
    protected boolean mayFollow(ConfigurationVersion next) {
        return next.newerThan(inForce.version()) && !inForce.floor().newerThan(next);
    }

    /** Returns whether the result is the configuration that was committed. */
    protected boolean intact(ConfigurationSnapshot result, ConfigurationDigest committed) {
        return result.digest().equals(committed);
    }

    /** Returns the configuration that results from applying the delta to the base. */
    protected ConfigurationSnapshot applied(ConfigurationSnapshot base, Delta delta) {
        return base.with(delta.result(), delta.format(), delta.changes());
    }

    /** Returns whether the control machine has been silent for too long. */
    protected boolean tooSilent(long silentMillis) {
        return silentMillis > settings.silenceMillis();
    }

    /** Returns whether the control machine's version has not been confirmed as the newest for too long. */
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
        if (now >= heartbeatAt) {
            reportInForce();
            heartbeatAt = now + settings.heartbeatMillis();
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

    /**
     * Reports that the control machine holds the version in force with a different content, unless already reported.
     */
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
        output.send(new DistributionMessage.UpdateRequest(inForce.version(), inForce.digest(), needsSnapshot));
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

    private void onSnapshotChunk(DistributionMessage.SnapshotChunk chunk, long now) {
        madeProgress(now);
        if (chunk.offset() == 0) {
            boolean wanted = mayFollow(chunk.version()) && readable(chunk.version(), chunk.format());
            boolean possible = chunk.total() >= 0 && chunk.total() <= MAX_SNAPSHOT_BYTES;
            assembly = wanted && possible ? new SnapshotAssembly(chunk) : null;
        }
        if (assembly == null || !assembly.add(chunk) || !assembly.complete()) {
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

    /** Returns the decoded configuration, or null if the bytes are malformed. */
    private static ConfigurationSnapshot decode(SnapshotAssembly complete) {
        try {
            return ConfigurationCodec.read(complete.bytes());
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private boolean readable(ConfigurationVersion version, int format) {
        if (format <= settings.highestFormat()) {
            return true;
        }
        refuse(new Refusal(
                version, Refusal.Reason.FORMAT, "format " + format + ", this reads up to " + settings.highestFormat()));
        return false;
    }

    private void refuse(Refusal refused) {
        refusal = refused;
        output.send(new DistributionMessage.Refused(refused));
    }

    private void putInForce(ConfigurationSnapshot next, long now) {
        Optional<String> validationError = validator.validationError(next);
        if (validationError.isPresent()) {
            refuse(new Refusal(next.version(), Refusal.Reason.INVALID, validationError.get()));
            return;
        }
        needsSnapshot = false;
        inForce.replace(next, now);
        output.inForce(next);
        reportInForce();
    }
}
