package pepperdock.faultinjection;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The active faults on each ordered pair of members, and their combined effect: any cut cuts, losses multiply, delays
 * add, and the lowest rate applies. Pure: randomness is passed in as a {@link Random}, and time is not used.
 */
final class LinkFaults {

    /** A link from one member to another; the reverse direction is another pair. */
    record Pair(String from, String to) {}

    /** What a fault does to a link. */
    enum Kind {
        /** No datagrams or stream bytes pass; what was sent on a stream waits. */
        CUT,
        /** This share of datagrams is lost. */
        LOSS,
        /** This share of datagrams arrives twice. */
        DUPLICATE,
        /**
         * Everything is delayed by this number of seconds; each datagram by a random time of up to {@code spread} more.
         */
        DELAY,
        /** This share of datagrams is delayed by {@code spread} seconds, so that later ones overtake them. */
        REORDER,
        /** Streams carry at most this number of bytes per second. */
        THROTTLE,
        /** Streams carry nothing; datagrams pass. */
        STALL
    }

    /** Formats pairs as they stand in a history. */
    static String formatPairs(Set<Pair> pairs) {
        return pairs.stream().map(p -> p.from() + ">" + p.to()).collect(Collectors.joining(" "));
    }

    /** Parses pairs as written by {@link #formatPairs}. */
    static Set<Pair> parsePairs(String text) {
        Set<Pair> pairs = new LinkedHashSet<>();
        for (String pair : text.isEmpty() ? new String[0] : text.split(" ")) {
            int separator = pair.indexOf('>');
            pairs.add(new Pair(pair.substring(0, separator), pair.substring(separator + 1)));
        }
        return pairs;
    }

    /**
     * A fault on links. {@code amount} is a share, seconds or bytes per second, depending on the kind; {@code spread}
     * is in seconds.
     */
    record Fault(Kind kind, Set<Pair> pairs, double amount, double spread) {}

    /**
     * The combined effect of all faults on a pair. {@code loss}, {@code duplicate} and {@code reorder} are shares of
     * datagrams; {@code rate} is in bytes per second, infinite if nothing throttles.
     */
    record Effect(
            boolean cut,
            boolean stalled,
            double loss,
            double duplicate,
            double delay,
            double jitter,
            double reorder,
            double reorderS,
            double rate) {

        static final Effect NONE = new Effect(false, false, 0, 0, 0, 0, 0, 0, Double.POSITIVE_INFINITY);

        boolean streamBlocked() {
            return cut || stalled;
        }

        private Effect and(Fault fault) {
            return switch (fault.kind()) {
                case CUT -> new Effect(true, stalled, loss, duplicate, delay, jitter, reorder, reorderS, rate);
                case STALL -> new Effect(cut, true, loss, duplicate, delay, jitter, reorder, reorderS, rate);
                case LOSS ->
                    new Effect(cut, stalled, combine(loss, fault), duplicate, delay, jitter, reorder, reorderS, rate);
                case DUPLICATE ->
                    new Effect(cut, stalled, loss, combine(duplicate, fault), delay, jitter, reorder, reorderS, rate);
                case DELAY ->
                    new Effect(
                            cut,
                            stalled,
                            loss,
                            duplicate,
                            delay + fault.amount(),
                            jitter + fault.spread(),
                            reorder,
                            reorderS,
                            rate);
                case REORDER ->
                    new Effect(
                            cut,
                            stalled,
                            loss,
                            duplicate,
                            delay,
                            jitter,
                            combine(reorder, fault),
                            Math.max(reorderS, fault.spread()),
                            rate);
                case THROTTLE ->
                    new Effect(
                            cut,
                            stalled,
                            loss,
                            duplicate,
                            delay,
                            jitter,
                            reorder,
                            reorderS,
                            Math.min(rate, fault.amount()));
            };
        }

        private static double combine(double share, Fault fault) {
            return 1 - (1 - share) * (1 - fault.amount());
        }

        /** Returns when each copy of a datagram arrives, in seconds from now; an empty array if it is lost. */
        double[] arrivalDelays(Random random) {
            if (cut || random.nextDouble() < loss) {
                return new double[0];
            }
            double[] copies = new double[random.nextDouble() < duplicate ? 2 : 1];
            for (int i = 0; i < copies.length; i++) {
                copies[i] = delay + jitter * random.nextDouble() + (random.nextDouble() < reorder ? reorderS : 0);
            }
            return copies;
        }
    }

    private final Map<Integer, Fault> inForce = new LinkedHashMap<>();
    private final Map<Pair, Effect> effects = new LinkedHashMap<>();

    /** Begins a fault under a number, replacing an active one of the same number. */
    void begin(int number, Fault fault) {
        inForce.put(number, fault);
        effects.clear();
    }

    /** Ends a fault; has no effect if none of this number is active. */
    void end(int number) {
        inForce.remove(number);
        effects.clear();
    }

    Effect effectOn(Pair pair) {
        return effects.computeIfAbsent(pair, p -> {
            Effect effect = Effect.NONE;
            for (Fault fault : inForce.values()) {
                if (fault.pairs().contains(p)) {
                    effect = effect.and(fault);
                }
            }
            return effect;
        });
    }
}
