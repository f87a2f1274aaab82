package pepperdock.faultinjection;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What lies on each ordered pair of members: the faults in force, and their sum. Faults on one pair add up: any cut cuts,
 * losses multiply, delays add, the least rate holds. Pure: the chance comes in as a {@link Random}, time not at all.
 */
final class LinkFaults {

    /** From one member to another; the way back is another pair. */
    record Pair(String from, String to) {}

    /** What a fault does to a link. */
    enum Kind {
        /** Nothing gets through, of datagrams or streams; what was sent on a stream waits. */
        CUT,
        /** That share of datagrams is lost. */
        LOSS,
        /** That share of datagrams comes twice. */
        DUPLICATE,
        /** Everything takes so many seconds longer; datagrams up to {@code spread} more, drawn for each. */
        DELAY,
        /** That share of datagrams takes {@code spread} seconds longer, so that later ones come first. */
        REORDER,
        /** Streams carry so many bytes a second at most. */
        THROTTLE,
        /** Streams carry nothing; datagrams pass. */
        STALL
    }

    /** Pairs as a history has them. */
    static String text(Set<Pair> pairs) {
        return pairs.stream().map(p -> p.from() + ">" + p.to()).collect(Collectors.joining(" "));
    }

    /** The same read back. */
    static Set<Pair> pairs(String text) {
        Set<Pair> pairs = new LinkedHashSet<>();
        for (String one : text.isEmpty() ? new String[0] : text.split(" ")) {
            int at = one.indexOf('>');
            pairs.add(new Pair(one.substring(0, at), one.substring(at + 1)));
        }
        return pairs;
    }

    /** {@code amount} is a share, seconds or bytes a second, by kind; {@code spread} is in seconds. */
    record Fault(Kind kind, Set<Pair> pairs, double amount, double spread) {}

    /** The sum of all faults on a pair. {@code rate} is in bytes a second, infinite where nothing throttles. */
    record Effect(
            boolean cut,
            boolean stalled,
            double loss,
            double twice,
            double delay,
            double jitter,
            double late,
            double lateBy,
            double rate) {

        static final Effect NONE = new Effect(false, false, 0, 0, 0, 0, 0, 0, Double.POSITIVE_INFINITY);

        boolean streamStands() {
            return cut || stalled;
        }

        private Effect and(Fault f) {
            return switch (f.kind()) {
                case CUT -> new Effect(true, stalled, loss, twice, delay, jitter, late, lateBy, rate);
                case STALL -> new Effect(cut, true, loss, twice, delay, jitter, late, lateBy, rate);
                case LOSS -> new Effect(cut, stalled, either(loss, f), twice, delay, jitter, late, lateBy, rate);
                case DUPLICATE -> new Effect(cut, stalled, loss, either(twice, f), delay, jitter, late, lateBy, rate);
                case DELAY ->
                    new Effect(cut, stalled, loss, twice, delay + f.amount(), jitter + f.spread(), late, lateBy, rate);
                case REORDER ->
                    new Effect(
                            cut,
                            stalled,
                            loss,
                            twice,
                            delay,
                            jitter,
                            either(late, f),
                            Math.max(lateBy, f.spread()),
                            rate);
                case THROTTLE ->
                    new Effect(cut, stalled, loss, twice, delay, jitter, late, lateBy, Math.min(rate, f.amount()));
            };
        }

        private static double either(double share, Fault f) {
            return 1 - (1 - share) * (1 - f.amount());
        }

        /** When each copy of a datagram arrives, in seconds from now; none where it is lost. */
        double[] fate(Random chance) {
            if (cut || chance.nextDouble() < loss) {
                return new double[0];
            }
            double[] copies = new double[chance.nextDouble() < twice ? 2 : 1];
            for (int i = 0; i < copies.length; i++) {
                copies[i] = delay + jitter * chance.nextDouble() + (chance.nextDouble() < late ? lateBy : 0);
            }
            return copies;
        }
    }

    private final Map<Integer, Fault> inForce = new LinkedHashMap<>();
    private final Map<Pair, Effect> sums = new LinkedHashMap<>();

    /** Puts a fault in force under a number; one that stands under it already is replaced. */
    void on(int number, Fault fault) {
        inForce.put(number, fault);
        sums.clear();
    }

    /** Ends a fault; one that is not in force is passed over. */
    void off(int number) {
        inForce.remove(number);
        sums.clear();
    }

    Effect on(Pair pair) {
        return sums.computeIfAbsent(pair, p -> {
            Effect sum = Effect.NONE;
            for (Fault f : inForce.values()) {
                if (f.pairs().contains(p)) {
                    sum = sum.and(f);
                }
            }
            return sum;
        });
    }
}
