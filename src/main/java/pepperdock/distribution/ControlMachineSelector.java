package pepperdock.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * Selects the control machine of the next attempt, and its backoff: those of the subscriber's region first, in random order, with
 * jittered exponential backoff. Owned by the thread that calls {@link Subscriber}.
 */
final class ControlMachineSelector {

    /** More doublings than this would not change a backoff. */
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

    /** The control machine to try now; a new round begins once all were tried. */
    ControlMachine next() {
        if (round.isEmpty()) {
            begin();
        }
        return round.removeFirst();
    }

    /** Begins a round in which this one comes last. */
    void startRoundEndingWith(ControlMachine machine) {
        begin();
        round.remove(machine);
        round.addLast(machine);
    }

    /** Whether all were tried since the round began. */
    boolean roundOver() {
        return round.isEmpty();
    }

    /** A control machine has answered: the backoff begins anew. */
    void onAnswer() {
        failures = 0;
    }

    /** A control machine is up to date: the next attempt begins a new round. */
    void onUpToDate() {
        round.clear();
    }

    /** Milliseconds to wait before the next attempt; the attempt before failed. */
    int nextBackoffMillis() {
        long maxMillis = Math.min(
                settings.backOffMostMillis(), (long) settings.backOffMillis() << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return random.nextInt((int) maxMillis + 1);
    }

    private void begin() {
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
