package pepperdock.distribution;

import java.util.Optional;

/**
 * The single connection of a subscriber: waits for the backoff, connects to the next control machine, and stays
 * connected until the connection is lost or closed. Not thread-safe: used only by the thread that calls
 * {@link Subscriber}.
 */
final class ControlConnection {

    /** The phase of the connection's life cycle. */
    private enum Phase {
        WAITING,
        CONNECTING,
        CONNECTED
    }

    private final ControlMachineSelector selector;
    private final SubscriberOutput output;
    private final int connectMillis;
    private Phase phase = Phase.WAITING;
    private ControlMachine machine;
    /** When the next attempt is due, or the current one is given up. */
    private long phaseEnds;

    /** Creates a connection that waits until {@code firstAttemptAt} before its first attempt. */
    ControlConnection(
            ControlMachineSelector selector, SubscriberOutput output, int connectMillis, long firstAttemptAt) {
        this.selector = selector;
        this.output = output;
        this.connectMillis = connectMillis;
        phaseEnds = firstAttemptAt;
    }

    boolean connected() {
        return phase == Phase.CONNECTED;
    }

    /** Returns the control machine that the subscriber is connected to, if any. */
    Optional<ControlMachine> machine() {
        return connected() ? Optional.of(machine) : Optional.empty();
    }

    /** Starts an attempt that is due, or gives up one that takes too long; returns true if an attempt was given up. */
    boolean tick(long now) {
        if (connected() || now < phaseEnds) {
            return false;
        }
        if (phase == Phase.CONNECTING) {
            output.disconnect();
            backOff(now);
            return true;
        }
        machine = selector.next();
        phase = Phase.CONNECTING;
        phaseEnds = now + connectMillis;
        output.connect(machine);
        return false;
    }

    void opened() {
        phase = Phase.CONNECTED;
    }

    /** Disconnects from a control machine that is unusable; it is tried again only after all others. */
    void leave(long now) {
        output.disconnect();
        selector.startRoundEndingWith(machine);
        backOff(now);
    }

    /** Starts the backoff before the next attempt, after an attempt failed or the connection ended. */
    void backOff(long now) {
        phase = Phase.WAITING;
        phaseEnds = now + selector.nextBackoffMillis();
    }
}
