package pepperdock.distribution;

import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * The side of a gatherer: has one control machine at a time send it what is settled, puts each version in force whole or not
 * at all, and never one that is older than any it had in force. Without a control machine it goes on by the last version and
 * says how old that is.
 *
 * <p>Times are milliseconds of the caller's clock.
 */
public class Subscriber {

    /** So many questions without an answer, and the control machine is left: it may not hear this subscriber. */
    private static final int QUESTIONS_MOST = 2;
    /** Of snapshots; the field of a piece is not trusted beyond this. */
    private static final int SNAPSHOT_BYTES_MOST = 16 << 20;

    private enum Phase {
        WAITING,
        CONNECTING,
        CONNECTED
    }

    private final SubscriberId id;
    private final SubscriberSettings settings;
    private final VersionStore store;
    private final Validator validator;
    private final SubscriberOutput output;
    private final MachineChoice choice;

    private Configuration inForce;
    private Version floor;
    private Durability durability;
    private Refusal refusal;

    private Phase phase = Phase.WAITING;
    private ControlMachine machine;
    /** When the phase ends: the next attempt, or the end of patience with this one. */
    private long phaseEnds;

    private long lastHeard;
    /** The newest version that the control machine has spoken of, and when it was last known to be the newest. */
    private Version offered = Version.NONE;

    private long offeredConfirmedAt;
    private long stayUntil;
    private boolean stays;
    private long lastProgress;
    private int questions;
    private long aliveAt;
    private long saveAgainAt;
    private SnapshotAssembly assembly;
    private boolean whole;
    /** The version in force was the newest at this time; the subscriber's start where that is not known. */
    private long currentAt;

    private boolean everCurrent;

    public Subscriber(
            SubscriberIdentity self,
            List<ControlMachine> machines,
            SubscriberSettings settings,
            VersionStore store,
            Validator validator,
            SubscriberOutput output,
            long seed,
            long now) {
        id = self.id();
        this.settings = settings;
        this.store = store;
        this.validator = validator;
        this.output = output;
        Random chance = new Random(seed);
        choice = new MachineChoice(machines, self.region(), settings, chance);
        currentAt = now;
        phaseEnds = now + chance.nextInt(settings.backOffMillis());
        begin(store.load());
    }

    // ---- What the caller sees ------------------------------------------------------------

    /** What is in force; {@link Configuration#NONE} where nothing is. */
    public Configuration inForce() {
        return inForce;
    }

    /** What the disk holds of it. */
    public Durability durability() {
        return durability;
    }

    /** The last refusal, if there was one since the start. */
    public Optional<Refusal> refusal() {
        return Optional.ofNullable(refusal);
    }

    /** Whether a version newer than the one on the disk was in force before the restart, so that nothing is until it comes. */
    public boolean heldBack() {
        return floor.newerThan(inForce.version());
    }

    /** The control machine that it is connected to, if it is. */
    public Optional<ControlMachine> machine() {
        return phase == Phase.CONNECTED ? Optional.of(machine) : Optional.empty();
    }

    public Age age(long now) {
        return new Age(Math.max(0, now - currentAt), !everCurrent);
    }

    // ---- What the caller does ------------------------------------------------------------

    /** Time passes; to be called several times a second. */
    public void tick(long now) {
        saveAgain(now);
        switch (phase) {
            case WAITING -> {
                if (now >= phaseEnds) {
                    machine = choice.next();
                    phase = Phase.CONNECTING;
                    phaseEnds = now + settings.connectMillis();
                    output.connect(machine);
                }
            }
            case CONNECTING -> {
                if (now >= phaseEnds) {
                    output.disconnect();
                    waitToTryAgain(now);
                }
            }
            case CONNECTED -> connectedTick(now);
            default -> throw new IllegalStateException(phase.toString());
        }
    }

    /** The connection is open. */
    public void connected(long now) {
        phase = Phase.CONNECTED;
        lastHeard = now;
        lastProgress = now;
        offered = Version.NONE;
        offeredConfirmedAt = now;
        questions = 0;
        stays = choice.roundOver();
        stayUntil = now + settings.stayMillis();
        aliveAt = now + settings.aliveMillis();
        assembly = null;
        output.send(new Message.Hello(id, settings.reads(), inForce.version(), inForce.digest(), durability));
        if (refusal != null && !inForce.version().newerThan(refusal.version())) {
            output.send(new Message.Refused(refusal));
        }
    }

    /** The connection has ended, or could not be opened. */
    public void disconnected(long now) {
        waitToTryAgain(now);
    }

    /** A message has come on the connection. */
    public void received(Message.FromPublisher message, long now) {
        lastHeard = now;
        choice.worked();
        if (message instanceof Message.Heartbeat heartbeat) {
            heard(heartbeat, now);
        } else if (message instanceof Message.Update update) {
            update(update.delta(), now);
        } else if (message instanceof Message.SnapshotPiece piece) {
            piece(piece, now);
        } else if (message instanceof Message.RetryAfter later) {
            progress(now + later.millis() - settings.lagMillis());
        }
    }

    // ---- Rules; tests plant faults here ------------------------------------------------------------

    /** Whether a version may follow on the one in force. */
    protected boolean mayFollow(Version next) {
        return next.newerThan(inForce.version()) && !floor.newerThan(next);
    }

    /** Whether the result is what was settled. */
    protected boolean intact(Configuration result, Digest settled) {
        return result.digest().equals(settled);
    }

    /** What comes of the version in force by these changes. */
    protected Configuration applied(Configuration base, Delta delta) {
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

    // ---- Connections ------------------------------------------------------------

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
        if (lags() && now - lastProgress > settings.lagMillis()) {
            if (questions == QUESTIONS_MOST) {
                leave(now);
                return;
            }
            ask(now);
        }
        if (now >= aliveAt) {
            output.send(new Message.InForce(inForce.version(), inForce.digest(), durability));
            aliveAt = now + settings.aliveMillis();
        }
    }

    /** Leaves a control machine that is open but of no use, for each of the others before it is tried again. */
    private void leave(long now) {
        output.disconnect();
        choice.last(machine);
        waitToTryAgain(now);
    }

    private void waitToTryAgain(long now) {
        phase = Phase.WAITING;
        assembly = null;
        phaseEnds = now + choice.backOffMillis();
    }

    private void heard(Message.Heartbeat heartbeat, long now) {
        offered = heartbeat.latest();
        offeredConfirmedAt = now - heartbeat.confirmedMillisAgo();
        boolean confirmed = heartbeat.confirmedMillisAgo() <= settings.staleMillis();
        boolean same = offered.equals(inForce.version());
        if (confirmed && !inForce.version().newerThan(offered)) {
            choice.settled();
        }
        if (same && !heartbeat.digest().equals(inForce.digest())) {
            conflict(heartbeat);
        } else if (same && offeredConfirmedAt >= currentAt) {
            currentAt = offeredConfirmedAt;
            everCurrent = true;
        }
    }

    private void conflict(Message.Heartbeat heartbeat) {
        Refusal by = new Refusal(offered, Refusal.Reason.CONFLICT, "other content: " + heartbeat.digest());
        if (!by.equals(refusal)) {
            refuse(by);
        }
    }

    private boolean lags() {
        return mayFollow(offered) && (refusal == null || !refusal.version().equals(offered));
    }

    private void progress(long now) {
        lastProgress = now;
        questions = 0;
    }

    private void ask(long now) {
        questions++;
        lastProgress = now;
        output.send(new Message.Ask(inForce.version(), inForce.digest(), whole));
    }

    // ---- Versions ------------------------------------------------------------

    private void begin(VersionStore.Saved saved) {
        boolean old = saved.floor().newerThan(saved.configuration().version());
        floor = old ? saved.floor() : saved.configuration().version();
        inForce = old ? Configuration.NONE : saved.configuration();
        durability = old ? Durability.FLOOR_ONLY : Durability.SAVED;
        if (!old && !inForce.version().equals(Version.NONE)) {
            output.inForce(inForce);
        }
    }

    private void update(Delta delta, long now) {
        progress(now);
        if (!mayFollow(delta.result()) || !readable(delta.result(), delta.format())) {
            return;
        }
        Configuration result = delta.fits(inForce) ? applied(inForce, delta) : null;
        if (result == null || !intact(result, delta.digest())) {
            whole = true;
            ask(now);
            return;
        }
        take(result, now);
    }

    private void piece(Message.SnapshotPiece piece, long now) {
        progress(now);
        if (piece.offset() == 0) {
            boolean wanted = mayFollow(piece.version()) && readable(piece.version(), piece.format());
            boolean possible = piece.total() >= 0 && piece.total() <= SNAPSHOT_BYTES_MOST;
            assembly = wanted && possible ? new SnapshotAssembly(piece) : null;
        }
        if (assembly == null || !assembly.add(piece) || !assembly.whole()) {
            return;
        }
        SnapshotAssembly full = assembly;
        assembly = null;
        Configuration result = read(full);
        if (result == null || !intact(result, full.digest())) {
            whole = true;
            ask(now);
            return;
        }
        take(result, now);
    }

    /** Null where the bytes are no configuration. */
    private static Configuration read(SnapshotAssembly full) {
        try {
            return Encoding.read(full.bytes());
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private boolean readable(Version version, int format) {
        if (format <= settings.reads()) {
            return true;
        }
        refuse(new Refusal(
                version, Refusal.Reason.FORMAT, "format " + format + ", this reads up to " + settings.reads()));
        return false;
    }

    private void refuse(Refusal by) {
        refusal = by;
        output.send(new Message.Refused(by));
    }

    private void take(Configuration next, long now) {
        Optional<String> complaint = validator.complaint(next);
        if (complaint.isPresent()) {
            refuse(new Refusal(next.version(), Refusal.Reason.INVALID, complaint.get()));
            return;
        }
        whole = false;
        save(next, now);
        inForce = next;
        output.inForce(next);
        output.send(new Message.InForce(next.version(), next.digest(), durability));
    }

    private void save(Configuration next, long now) {
        if (store.save(next)) {
            durability = Durability.SAVED;
            floor = next.version();
        } else if (store.saveFloor(next.version())) {
            durability = Durability.FLOOR_ONLY;
            floor = next.version();
        } else {
            durability = Durability.MEMORY_ONLY;
        }
        saveAgainAt = now + settings.saveAgainMillis();
    }

    private void saveAgain(long now) {
        if (durability == Durability.SAVED || heldBack() || now < saveAgainAt) {
            return;
        }
        save(inForce, now);
        if (durability == Durability.SAVED && phase == Phase.CONNECTED) {
            output.send(new Message.InForce(inForce.version(), inForce.digest(), durability));
        }
    }
}
