package pepperdock.faultinjection;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Metrics of membership in one run, or in several runs combined. */
final class MembershipMetrics {

    /** Time from the end of a process until each member declares it faulty. */
    final Histogram detectionMs = new Histogram(3);
    /** Time from the last fault until all views agree. */
    final Histogram agreementMs = new Histogram(3);
    /** Datagrams that a member sends in a second. */
    final Histogram datagrams = new Histogram(3);
    /** Bytes that a member sends in a second. */
    final Histogram bytes = new Histogram(3);
    /** Bytes that a member sends in a second, since the fleet first agreed. */
    final Histogram bytesAfterAssembly = new Histogram(3);
    /** Number of different rosters in all views since the fleet first agreed, in each run. */
    final Histogram rosters = new Histogram(3);

    double memberSeconds;
    long changes;
    long faults;
    /** Number of times that a running member was declared faulty. */
    long falseVerdicts;
    /** The same by cause: the faults that the member had been exposed to. */
    final Map<String, Long> falseVerdictsByCause = new TreeMap<>();

    long refutations;

    /** Counts a running member that was declared faulty. */
    void countFalseVerdict(String cause) {
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
        bytesAfterAssembly.add(other.bytesAfterAssembly);
        rosters.add(other.rosters);
        memberSeconds += other.memberSeconds;
        changes += other.changes;
        faults += other.faults;
        falseVerdicts += other.falseVerdicts;
        refutations += other.refutations;
    }

    /** Returns the metrics as text, one per line. */
    List<String> lines() {
        return List.of(
                "ended processes detected " + seconds(detectionMs),
                String.format(
                        Locale.ROOT,
                        "running members declared faulty %d times in %.3f member-hours, refuted %d times%s",
                        falseVerdicts,
                        memberSeconds / 3600,
                        refutations,
                        falseVerdictsByCause.isEmpty()
                                ? ""
                                : ": "
                                        + falseVerdictsByCause.entrySet().stream()
                                                .map(cause -> cause.getKey() + ' ' + cause.getValue())
                                                .collect(Collectors.joining(", "))),
                String.format(Locale.ROOT, "published changes %d, beginnings and ends of faults %d", changes, faults),
                "all views agreed after the last fault " + seconds(agreementMs),
                "different rosters in a run after the fleet first agreed: " + distribution(rosters),
                "datagrams per second and member: " + distribution(datagrams),
                "bytes per second and member: " + distribution(bytes),
                "bytes per second and member after the fleet first agreed: " + distribution(bytesAfterAssembly));
    }

    private static String seconds(Histogram histogram) {
        return String.format(
                Locale.ROOT,
                "%d times: median %.2f s, p99 %.2f s, maximum %.2f s",
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / 1e3,
                histogram.getValueAtPercentile(99) / 1e3,
                histogram.getMaxValue() / 1e3);
    }

    private static String distribution(Histogram histogram) {
        return String.format(
                Locale.ROOT,
                "median %d, p99 %d, maximum %d",
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(99),
                histogram.getMaxValue());
    }
}
