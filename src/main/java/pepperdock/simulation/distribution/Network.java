package pepperdock.simulation.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The ways between places: how long they take, and which of them are cut. */
final class Network {

    /** A way that does not pass, in one direction. */
    interface Cut {
        boolean stops(Place from, Place to);
    }

    private static final int SAME_ZONE_MILLIS = 1;
    private static final int SAME_REGION_MILLIS = 2;
    private static final int REGIONS_MILLIS = 30;
    private static final double JITTER = 0.5;
    /** After a cut has healed, the transport's next attempt comes within these. */
    private static final int RETRANSMIT_LEAST_MILLIS = 200;

    private static final int RETRANSMIT_MOST_MILLIS = 1000;

    private final Timeline time;
    private final Random chance;
    private final List<Cut> cuts = new ArrayList<>();
    private final List<Runnable> onHeal = new ArrayList<>();

    Network(Timeline time, Random chance) {
        this.time = time;
        this.chance = chance;
    }

    boolean passes(Place from, Place to) {
        return cuts.stream().noneMatch(c -> c.stops(from, to));
    }

    /** Milliseconds that a message takes one way, this time. */
    long delay(Place from, Place to) {
        long least = from.zone().equals(to.zone())
                ? SAME_ZONE_MILLIS
                : from.region().equals(to.region()) ? SAME_REGION_MILLIS : REGIONS_MILLIS;
        return least + chance.nextInt(1 + (int) (least * JITTER));
    }

    void cut(Cut cut) {
        cuts.add(cut);
    }

    void heal(Cut cut) {
        cuts.remove(cut);
        List<Runnable> waiting = List.copyOf(onHeal);
        onHeal.clear();
        int span = RETRANSMIT_MOST_MILLIS - RETRANSMIT_LEAST_MILLIS;
        waiting.forEach(r -> time.after(RETRANSMIT_LEAST_MILLIS + chance.nextInt(span), r));
    }

    /** Runs this a transport's retransmission after the next cut that heals. */
    void whenHealed(Runnable again) {
        onHeal.add(again);
    }
}
