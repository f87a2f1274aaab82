package pepperdock.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * Selects the control machine for the next attempt and the backoff before it. Machines in the subscriber's region come
 * first, in random order; the backoff is exponential with jitter. Not thread-safe: used only by the thread that calls
 * {@link Subscriber}.
 */
final class ControlMachineSelector {

    /** Further doublings would not change the backoff. */
    private static final int MAX_DOUBLINGS = 16;

    private final List<ControlMachine> all;
    private final String region;
    private final SubscriberSettings settings;
    private final Random random;
    private final Deque<ControlMachine> round = new ArrayDeque<>();
    private int failures;

    ControlMachineSelector(List<ControlMachine> all, String region, SubscriberSettings settings, Random random) {
        this.all = List.copyOf(all);
        this.region = region;
        this.settings = settings;
        this.random = random;
    }

    /** Returns the control machine to try now; starts a new round once all were tried. */
    ControlMachine next() {
        if (round.isEmpty()) {
            startRound();
        }
        return round.removeFirst();
    }

    /** Starts a round in which this control machine comes last. */
    void startRoundEndingWith(ControlMachine machine) {
        startRound();
        round.remove(machine);
        round.addLast(machine);
    }

    /** Returns whether all control machines were tried since the round began. */
    boolean roundOver() {
        return round.isEmpty();
    }

    /** Resets the backoff, because a control machine has answered. */
    void onAnswer() {
        failures = 0;
    }

    /** Ends the round, because a control machine is up to date: the next attempt starts a new one. */
    void onUpToDate() {
        round.clear();
    }

    /** Returns the milliseconds to wait before the next attempt, and counts a failure of the previous one. */
    int nextBackoffMillis() {
        long maxMillis = Math.min(
                settings.maxBackoffMillis(),
                (long) settings.initialBackoffMillis() << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return random.nextInt((int) maxMillis + 1);
    }

    private void startRound() {
        List<ControlMachine> near = new ArrayList<>();
        List<ControlMachine> far = new ArrayList<>();
        all.forEach(machine -> (machine.region().equals(region) ? near : far).add(machine));
        Collections.shuffle(near, random);
        Collections.shuffle(far, random);
        round.clear();
        round.addAll(near);
        round.addAll(far);
    }
}
