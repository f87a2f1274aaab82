package pepperdock.faultinjection;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What has befallen a process since all was well with it. */
final class FaultExposure {

    /** Nothing beyond what membership promises to bear. */
    static final String BORNE = "only what is borne";

    /** Of datagrams, lost at any member, without anybody being called gone. */
    private static final double LOSS_BORNE = 0.3;

    private final Map<Integer, LinkFaults.Fault> faults = new TreeMap<>();
    private double stoppedAt = Double.NaN;
    private double longestStop;
    private int mostCut;
    private double mostLoss;

    void on(String who, int number, LinkFaults.Fault f) {
        faults.put(number, f);
        Set<String> cut = new HashSet<>();
        double gets = 1;
        for (LinkFaults.Fault x : faults.values()) {
            if (x.kind() == LinkFaults.Kind.CUT) {
                x.pairs().stream().filter(p -> p.from().equals(who)).forEach(p -> cut.add(p.to()));
            } else if (x.kind() == LinkFaults.Kind.LOSS) {
                gets *= 1 - x.amount();
            }
        }
        mostCut = Math.max(mostCut, cut.size());
        mostLoss = Math.max(mostLoss, 1 - gets);
    }

    void off(int number) {
        faults.remove(number);
    }

    void stopped(double at) {
        stoppedAt = at;
    }

    boolean over() {
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

    /** Why others may have called it gone, the strongest reason there was. */
    String why(double at, double borneS, int others) {
        double stop = Double.isNaN(stoppedAt) ? longestStop : Math.max(longestStop, at - stoppedAt);
        return stop >= borneS
                ? "stopped longer than is borne"
                : 2 * mostCut > others
                        ? "most links out of it cut"
                        : mostLoss > LOSS_BORNE + 1e-9 ? "more lost than is borne" : BORNE;
    }
}
