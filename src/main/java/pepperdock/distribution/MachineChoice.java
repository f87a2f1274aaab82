package pepperdock.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/** Which control machine to try next, and when: those of the own region first, in random order, with jittered back-off. */
final class MachineChoice {

    /** More doublings than this would not change a back-off. */
    private static final int DOUBLINGS_MOST = 16;

    private final List<ControlMachine> all;
    private final String region;
    private final SubscriberSettings settings;
    private final Random chance;
    private final Deque<ControlMachine> round = new ArrayDeque<>();
    private int failures;

    MachineChoice(List<ControlMachine> all, String region, SubscriberSettings settings, Random chance) {
        this.all = List.copyOf(all);
        this.region = region;
        this.settings = settings;
        this.chance = chance;
    }

    ControlMachine next() {
        if (round.isEmpty()) {
            begin();
        }
        return round.removeFirst();
    }

    /** Tries this one after all others. */
    void last(ControlMachine machine) {
        begin();
        round.remove(machine);
        round.addLast(machine);
    }

    /** Whether each has been tried since the round began. */
    boolean roundOver() {
        return round.isEmpty();
    }

    void worked() {
        failures = 0;
    }

    /** Begins a round anew with the next attempt. */
    void settled() {
        round.clear();
    }

    /** Milliseconds to wait before the next attempt; the attempt before failed. */
    int backOffMillis() {
        long most = Math.min(
                settings.backOffMostMillis(), (long) settings.backOffMillis() << Math.min(failures, DOUBLINGS_MOST));
        failures++;
        return chance.nextInt((int) most + 1);
    }

    private void begin() {
        List<ControlMachine> near = new ArrayList<>();
        List<ControlMachine> far = new ArrayList<>();
        all.forEach(m -> (m.region().equals(region) ? near : far).add(m));
        Collections.shuffle(near, chance);
        Collections.shuffle(far, chance);
        round.clear();
        round.addAll(near);
        round.addAll(far);
    }
}
