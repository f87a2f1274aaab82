package pepperdock.simulation.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pepperdock.distribution.ConfigurationVersion;

/** What a course, or several, measured. Times in milliseconds, of simulated time. */
public final class DistributionMetrics {

    /** From asked for to in force everywhere; at who could not be reached, from when it could. */
    private final Samples everywhere = new Samples();
    /** The same without that allowance. */
    private final Samples everywhereRaw = new Samples();
    /** The same at each gatherer. */
    private final Samples each = new Samples();
    /** From a gatherer's start on an empty disk to its first version. */
    private final Samples firstVersion = new Samples();

    private final Samples gathererBytes = new Samples();
    private final Samples controlBytes = new Samples();
    private long gathererMost;
    private long controlMost;
    private int neverInForce;
    private int courses;

    private DistributionMetrics() {}

    /** Of nothing yet. */
    public static DistributionMetrics none() {
        return new DistributionMetrics();
    }

    static DistributionMetrics of(Simulation world) {
        DistributionMetrics figures = new DistributionMetrics();
        figures.courses = 1;
        figures.latencies(world);
        world.gatherers().forEach(g -> {
            figures.gathererBytes.addAll(g.bytes().perSecond());
            figures.gathererMost = Math.max(figures.gathererMost, g.bytes().most());
        });
        world.group().nodes().forEach(n -> {
            figures.controlBytes.addAll(n.streams().perSecond());
            figures.controlMost = Math.max(figures.controlMost, n.streams().most());
        });
        return figures;
    }

    /** Takes in those of another course. */
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

    /** How many courses these are the figures of. */
    public int courses() {
        return courses;
    }

    /** How many changes were measured. */
    public int changes() {
        return everywhere.count();
    }

    /** Pairs of a change and a gatherer where the change, or a later one, never came in force. */
    public int neverInForce() {
        return neverInForce;
    }

    /** Quantile of the time until a change was in force everywhere, less the time in which a gatherer was out of reach. */
    public long everywhere(double share) {
        return everywhere.quantile(share);
    }

    /** Quantile of the time until a change was in force everywhere, without that allowance. */
    public long everywhereRaw(double share) {
        return everywhereRaw.quantile(share);
    }

    /** Quantile over gatherers of the time until a change was in force there, with that allowance. */
    public long each(double share) {
        return each.quantile(share);
    }

    /** Quantile of the time from a gatherer's start on an empty disk to its first version. */
    public long firstVersion(double share) {
        return firstVersion.quantile(share);
    }

    /** Bytes both ways at a gatherer in whole seconds. */
    public long gathererBytes(double share) {
        return gathererBytes.quantile(share);
    }

    /** The most in any second, also one that begins between two. */
    public long gathererMost() {
        return gathererMost;
    }

    /** Bytes both ways on all streams of a control machine, in whole seconds, without the consensus. */
    public long controlBytes(double share) {
        return controlBytes.quantile(share);
    }

    /** The most in any second at a control machine, also one that begins between two. */
    public long controlMost() {
        return controlMost;
    }

    // ---- How ------------------------------------------------------------

    private static final class Course {
        private final List<Event.InForce> inForce = new ArrayList<>();
        private final List<Event.Hindered> hindered = new ArrayList<>();
    }

    private void latencies(Simulation world) {
        Map<String, Course> courses = new HashMap<>();
        world.gatherers().forEach(g -> courses.put(g.place().name(), new Course()));
        Map<Long, Long> proposed = new HashMap<>();
        Map<Long, ConfigurationVersion> settled = new HashMap<>();
        Map<String, Long> startedEmpty = new HashMap<>();
        for (Event event : world.history().events()) {
            if (event instanceof Event.Proposed p) {
                proposed.put(p.command(), p.at());
            } else if (event instanceof Event.Settled s) {
                settled.putIfAbsent(s.command(), s.version());
            } else if (event instanceof Event.Hindered h) {
                courses.get(h.gatherer()).hindered.add(h);
            } else if (event instanceof Event.Started s && s.onDisk().equals(ConfigurationVersion.NONE)) {
                startedEmpty.put(s.gatherer(), s.at());
            } else if (event instanceof Event.InForce next) {
                courses.get(next.gatherer()).inForce.add(next);
                Long startedAt = startedEmpty.remove(next.gatherer());
                if (startedAt != null && startedAt >= Simulation.WARM_MILLIS) {
                    firstVersion.add(next.at() - startedAt);
                }
            }
        }
        proposed.forEach((command, at) -> {
            if (at >= Simulation.WARM_MILLIS) {
                latency(courses, at, settled.get(command));
            }
        });
    }

    private void latency(Map<String, Course> courses, long proposedAt, ConfigurationVersion version) {
        long worst = 0;
        long worstRaw = 0;
        for (Course course : courses.values()) {
            Event.InForce first = version == null ? null : first(course, version);
            if (first == null) {
                neverInForce++;
                continue;
            }
            long from = proposedAt;
            for (Event.Hindered h : course.hindered) {
                if (h.at() < first.at() && h.until() > from) {
                    from = Math.min(first.at(), h.until());
                }
            }
            worst = Math.max(worst, first.at() - from);
            worstRaw = Math.max(worstRaw, first.at() - proposedAt);
            each.add(first.at() - from);
        }
        everywhere.add(worst);
        everywhereRaw.add(worstRaw);
    }

    private static Event.InForce first(Course course, ConfigurationVersion version) {
        return course.inForce.stream()
                .filter(e -> !version.newerThan(e.version()))
                .findFirst()
                .orElse(null);
    }
}
