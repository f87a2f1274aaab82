package pepperdock.faultinjection;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The faults that a process has been exposed to since it last fully recovered. */
final class FaultExposure {

    /** No faults beyond those that membership promises to tolerate. */
    static final String TOLERATED = "only tolerated faults";

    /** Share of datagrams that may be lost at any member without a member being declared faulty. */
    private static final double TOLERATED_LOSS = 0.3;

    private final Map<Integer, LinkFaults.Fault> faults = new TreeMap<>();
    private double stoppedAt = Double.NaN;
    private double longestStop;
    private int mostLinksCut;
    private double mostLoss;

    void beginFault(String process, int number, LinkFaults.Fault fault) {
        faults.put(number, fault);
        Set<String> cut = new HashSet<>();
        double received = 1;
        for (LinkFaults.Fault active : faults.values()) {
            if (active.kind() == LinkFaults.Kind.CUT) {
                active.pairs().stream().filter(p -> p.from().equals(process)).forEach(p -> cut.add(p.to()));
            } else if (active.kind() == LinkFaults.Kind.LOSS) {
                received *= 1 - active.amount();
            }
        }
        mostLinksCut = Math.max(mostLinksCut, cut.size());
        mostLoss = Math.max(mostLoss, 1 - received);
    }

    void endFault(int number) {
        faults.remove(number);
    }

    void stopped(double at) {
        stoppedAt = at;
    }

    boolean isOver() {
        return faults.isEmpty() && Double.isNaN(stoppedAt);
    }

    void ended() {
        stoppedAt = Double.NaN;
        longestStop = 0;
    }

    void continued(double at) {
        if (!Double.isNaN(stoppedAt)) {
            longestStop = Math.max(longestStop, at - stoppedAt);
            stoppedAt = Double.NaN;
        }
    }

    /** Returns the strongest reason why others may have declared the process faulty. */
    String cause(double at, double toleratedPauseS, int others) {
        double stop = Double.isNaN(stoppedAt) ? longestStop : Math.max(longestStop, at - stoppedAt);
        return stop >= toleratedPauseS
                ? "paused longer than tolerated"
                : 2 * mostLinksCut > others
                        ? "most outgoing links cut"
                        : mostLoss > TOLERATED_LOSS + 1e-9 ? "more datagrams lost than tolerated" : TOLERATED;
    }
}
