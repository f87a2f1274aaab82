package pepperdock.simulation.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pepperdock.distribution.ConfigurationVersion;

/** The measurements of one or more runs. Times are in milliseconds of simulated time. */
public final class DistributionMetrics {

    /**
     * Time from a request to in force everywhere; for an unreachable gatherer it counts from when it could be reached
     * again.
     */
    private final Samples everywhere = new Samples();
    /** The same time without that allowance. */
    private final Samples everywhereRaw = new Samples();
    /** The time with that allowance, for each gatherer. */
    private final Samples each = new Samples();
    /** Time from a gatherer's start on an empty disk to its first version. */
    private final Samples firstVersion = new Samples();

    private final Samples gathererBytes = new Samples();
    private final Samples controlBytes = new Samples();
    private long gathererMost;
    private long controlMost;
    private int neverInForce;
    private int courses;

    private DistributionMetrics() {}

    /** Returns empty metrics. */
    public static DistributionMetrics none() {
        return new DistributionMetrics();
    }

    static DistributionMetrics of(Simulation simulation) {
        DistributionMetrics metrics = new DistributionMetrics();
        metrics.courses = 1;
        metrics.latencies(simulation);
        simulation.gatherers().forEach(g -> {
            metrics.gathererBytes.addAll(g.bytes().perSecond());
            metrics.gathererMost = Math.max(metrics.gathererMost, g.bytes().maxPerSecond());
        });
        simulation.group().nodes().forEach(n -> {
            metrics.controlBytes.addAll(n.streams().perSecond());
            metrics.controlMost = Math.max(metrics.controlMost, n.streams().maxPerSecond());
        });
        return metrics;
    }

    /** Adds the measurements of other runs. */
    public void add(DistributionMetrics other) {
        everywhere.addAll(other.everywhere);
        everywhereRaw.addAll(other.everywhereRaw);
        each.addAll(other.each);
        firstVersion.addAll(other.firstVersion);
        gathererBytes.addAll(other.gathererBytes);
        controlBytes.addAll(other.controlBytes);
        gathererMost = Math.max(gathererMost, other.gathererMost);
        controlMost = Math.max(controlMost, other.controlMost);
        neverInForce += other.neverInForce;
        courses += other.courses;
    }

    /** Returns the number of runs measured. */
    public int courses() {
        return courses;
    }

    /** Returns the number of changes measured. */
    public int changes() {
        return everywhere.count();
    }

    /**
     * Returns the number of pairs of a change and a gatherer where neither the change nor a later one came in force.
     */
    public int neverInForce() {
        return neverInForce;
    }

    /**
     * Returns a quantile of the time until a change was in force everywhere, without the time in which a gatherer was
     * unreachable.
     */
    public long everywhere(double share) {
        return everywhere.quantile(share);
    }

    /**
     * Returns a quantile of the time until a change was in force everywhere, including the time in which a gatherer was
     * unreachable.
     */
    public long everywhereRaw(double share) {
        return everywhereRaw.quantile(share);
    }

    /**
     * Returns a quantile, over all gatherers, of the time until a change was in force there, without its unreachable
     * time.
     */
    public long each(double share) {
        return each.quantile(share);
    }

    /** Returns a quantile of the time from a gatherer's start on an empty disk to its first version. */
    public long firstVersion(double share) {
        return firstVersion.quantile(share);
    }

    /** Returns a quantile of the bytes per whole second, in both directions, at a gatherer. */
    public long gathererBytes(double share) {
        return gathererBytes.quantile(share);
    }

    /** Returns the maximum bytes at a gatherer in any second, including seconds that begin between two whole ones. */
    public long gathererMost() {
        return gathererMost;
    }

    /**
     * Returns a quantile of the bytes per whole second, in both directions, on all streams of a control machine,
     * without consensus.
     */
    public long controlBytes(double share) {
        return controlBytes.quantile(share);
    }

    /**
     * Returns the maximum bytes at a control machine in any second, including seconds that begin between two whole
     * ones.
     */
    public long controlMost() {
        return controlMost;
    }

    // ---- Evaluation of the history ------------------------------------------------------------

    private static final class GathererHistory {
        private final List<Event.InForce> inForce = new ArrayList<>();
        private final List<Event.Unreachable> unreachable = new ArrayList<>();
    }

    private void latencies(Simulation simulation) {
        Map<String, GathererHistory> gatherers = new HashMap<>();
        simulation.gatherers().forEach(g -> gatherers.put(g.place().name(), new GathererHistory()));
        Map<Long, Long> proposed = new HashMap<>();
        Map<Long, ConfigurationVersion> settled = new HashMap<>();
        Map<String, Long> startedEmpty = new HashMap<>();
        for (Event event : simulation.history().events()) {
            if (event instanceof Event.Proposed p) {
                proposed.put(p.command(), p.at());
            } else if (event instanceof Event.Settled s) {
                settled.putIfAbsent(s.command(), s.version());
            } else if (event instanceof Event.Unreachable period) {
                gatherers.get(period.gatherer()).unreachable.add(period);
            } else if (event instanceof Event.Started s && s.onDisk().equals(ConfigurationVersion.NONE)) {
                startedEmpty.put(s.gatherer(), s.at());
            } else if (event instanceof Event.InForce next) {
                gatherers.get(next.gatherer()).inForce.add(next);
                Long startedAt = startedEmpty.remove(next.gatherer());
                if (startedAt != null && startedAt >= Simulation.WARM_UP_MILLIS) {
                    firstVersion.add(next.at() - startedAt);
                }
            }
        }
        proposed.forEach((command, at) -> {
            if (at >= Simulation.WARM_UP_MILLIS) {
                latency(gatherers, at, settled.get(command));
            }
        });
    }

    private void latency(Map<String, GathererHistory> gatherers, long proposedAt, ConfigurationVersion version) {
        long worst = 0;
        long worstRaw = 0;
        for (GathererHistory gatherer : gatherers.values()) {
            Event.InForce first = version == null ? null : first(gatherer, version);
            if (first == null) {
                neverInForce++;
                continue;
            }
            long from = proposedAt;
            for (Event.Unreachable period : gatherer.unreachable) {
                if (period.at() < first.at() && period.until() > from) {
                    from = Math.min(first.at(), period.until());
                }
            }
            worst = Math.max(worst, first.at() - from);
            worstRaw = Math.max(worstRaw, first.at() - proposedAt);
            each.add(first.at() - from);
        }
        everywhere.add(worst);
        everywhereRaw.add(worstRaw);
    }

    private static Event.InForce first(GathererHistory gatherer, ConfigurationVersion version) {
        return gatherer.inForce.stream()
                .filter(e -> !version.newerThan(e.version()))
                .findFirst()
                .orElse(null);
    }
}
