package pepperdock.distribution;

import java.util.Optional;

/**
 * A subscriber's one connection: waits for its backoff, connects to the next control machine, and is connected until it is lost
 * or left. Owned by the thread that calls {@link Subscriber}.
 */
final class ControlConnection {

    /** Where the connection is in its life cycle. */
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
    /** When the next attempt is due, or the present one is given up. */
    private long phaseEnds;

    /** Waits for the first attempt until {@code firstAttemptAt}. */
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

    /** The control machine that it is connected to, if it is. */
    Optional<ControlMachine> machine() {
        return connected() ? Optional.of(machine) : Optional.empty();
    }

    /** Begins an attempt that is due, or gives up one that takes too long; whether the latter. */
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

    /** Leaves a control machine that is of no use, and tries each of the others before it. */
    void leave(long now) {
        output.disconnect();
        selector.startRoundEndingWith(machine);
        backOff(now);
    }

    /** Waits before the next attempt: the last one failed, or the connection is gone. */
    void backOff(long now) {
        phase = Phase.WAITING;
        phaseEnds = now + selector.nextBackoffMillis();
    }
}
