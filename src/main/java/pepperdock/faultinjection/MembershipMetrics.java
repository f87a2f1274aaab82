package pepperdock.faultinjection;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Metrics of a run of membership, and of several runs together. */
final class MembershipMetrics {

    /** From a death to each member's verdict on it. */
    final Histogram detectionMs = new Histogram(3);
    /** From the last fault until all views agree. */
    final Histogram agreementMs = new Histogram(3);
    /** Of a member in a second. */
    final Histogram datagrams = new Histogram(3);
    /** Of a member in a second. */
    final Histogram bytes = new Histogram(3);
    /** The same, since the fleet was first together. */
    final Histogram bytesTogether = new Histogram(3);
    /** Different rosters seen by anybody since the fleet was first together, in each run. */
    final Histogram rosters = new Histogram(3);

    double memberSeconds;
    long changes;
    long faults;
    /** Running members declared faulty. */
    long falseVerdicts;
    /** Of these, by what had befallen the member. */
    final Map<String, Long> falseVerdictsByCause = new TreeMap<>();

    long refutations;

    /** Counts a running member that was declared faulty. */
    void falseVerdicts(String cause) {
        falseVerdicts++;
        falseVerdictsByCause.merge(cause, 1L, Long::sum);
    }

    /** Adds the metrics of another run. */
    void add(MembershipMetrics other) {
        other.falseVerdictsByCause.forEach((cause, count) -> falseVerdictsByCause.merge(cause, count, Long::sum));
        detectionMs.add(other.detectionMs);
        agreementMs.add(other.agreementMs);
        datagrams.add(other.datagrams);
        bytes.add(other.bytes);
        bytesTogether.add(other.bytesTogether);
        rosters.add(other.rosters);
        memberSeconds += other.memberSeconds;
        changes += other.changes;
        faults += other.faults;
        falseVerdicts += other.falseVerdicts;
        refutations += other.refutations;
    }

    /** The metrics as text, a line each. */
    List<String> lines() {
        return List.of(
                "true deaths noticed " + seconds(detectionMs),
                String.format(
                        Locale.ROOT,
                        "running members called gone %d times in %.3f member-hours, refuted %d times%s",
                        falseVerdicts,
                        memberSeconds / 3600,
                        refutations,
                        falseVerdictsByCause.isEmpty()
                                ? ""
                                : ": "
                                        + falseVerdictsByCause.entrySet().stream()
                                                .map(cause -> cause.getKey() + ' ' + cause.getValue())
                                                .collect(Collectors.joining(", "))),
                String.format(Locale.ROOT, "changes told %d, faults and ends of faults %d", changes, faults),
                "all agreed after the last fault " + seconds(agreementMs),
                "rosters seen in a run, once together: " + plain(rosters),
                "datagrams a second of a member: " + plain(datagrams),
                "bytes a second of a member: " + plain(bytes),
                "bytes a second of a member, once together: " + plain(bytesTogether));
    }

    private static String seconds(Histogram histogram) {
        return String.format(
                Locale.ROOT,
                "%d times: median %.2f s, p99 %.2f s, worst %.2f s",
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / 1e3,
                histogram.getValueAtPercentile(99) / 1e3,
                histogram.getMaxValue() / 1e3);
    }

    private static String plain(Histogram histogram) {
        return String.format(
                Locale.ROOT,
                "median %d, p99 %d, most %d",
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(99),
                histogram.getMaxValue());
    }
}
