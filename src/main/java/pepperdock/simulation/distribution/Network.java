package pepperdock.simulation.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The links between places: their delays, and which of them are cut. */
final class Network {

    /** Links that do not pass, in one direction. */
    interface Cut {
        boolean stops(Place from, Place to);
    }

    private static final int SAME_ZONE_MILLIS = 1;
    private static final int SAME_REGION_MILLIS = 2;
    private static final int OTHER_REGION_MILLIS = 30;
    private static final double JITTER = 0.5;
    /** Bounds of the time from the healing of a cut to the next retransmission by the transport. */
    private static final int MIN_RETRANSMIT_MILLIS = 200;

    private static final int MAX_RETRANSMIT_MILLIS = 1000;

    private final Timeline time;
    private final Random random;
    private final List<Cut> cuts = new ArrayList<>();
    private final List<Runnable> onHeal = new ArrayList<>();

    Network(Timeline time, Random random) {
        this.time = time;
        this.random = random;
    }

    boolean passes(Place from, Place to) {
        return cuts.stream().noneMatch(c -> c.stops(from, to));
    }

    /** Returns the one-way delay of the next message in milliseconds; draws the jitter anew at each call. */
    long delay(Place from, Place to) {
        long baseMillis = from.zone().equals(to.zone())
                ? SAME_ZONE_MILLIS
                : from.region().equals(to.region()) ? SAME_REGION_MILLIS : OTHER_REGION_MILLIS;
        return baseMillis + random.nextInt(1 + (int) (baseMillis * JITTER));
    }

    void cut(Cut cut) {
        cuts.add(cut);
    }

    void heal(Cut cut) {
        cuts.remove(cut);
        List<Runnable> waiting = List.copyOf(onHeal);
        onHeal.clear();
        int span = MAX_RETRANSMIT_MILLIS - MIN_RETRANSMIT_MILLIS;
        waiting.forEach(r -> time.after(MIN_RETRANSMIT_MILLIS + random.nextInt(span), r));
    }

    /** Runs an action at the transport's first retransmission after the next cut heals. */
    void whenHealed(Runnable action) {
        onHeal.add(action);
    }
}
