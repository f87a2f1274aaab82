package pepperdock.faultinjection;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** What a run of membership is measured by, and several runs together. Times in milliseconds. */
final class MembershipMetrics {

    final Histogram noticed = new Histogram(3);
    final Histogram agreement = new Histogram(3);
    final Histogram datagrams = new Histogram(3);
    final Histogram bytes = new Histogram(3);
    /** The same, since the fleet was first together. */
    final Histogram bytesTogether = new Histogram(3);
    /** Different rosters seen by anybody since the fleet was first together, in each run. */
    final Histogram rosters = new Histogram(3);

    double memberSeconds;
    long changes;
    long faults;
    long falseGone;
    /** Of these, by what had befallen the member. */
    final Map<String, Long> because = new TreeMap<>();

    long refuted;

    void falseGone(String why) {
        falseGone++;
        because.merge(why, 1L, Long::sum);
    }

    void add(MembershipMetrics other) {
        other.because.forEach((why, n) -> because.merge(why, n, Long::sum));
        noticed.add(other.noticed);
        agreement.add(other.agreement);
        datagrams.add(other.datagrams);
        bytes.add(other.bytes);
        bytesTogether.add(other.bytesTogether);
        rosters.add(other.rosters);
        memberSeconds += other.memberSeconds;
        changes += other.changes;
        faults += other.faults;
        falseGone += other.falseGone;
        refuted += other.refuted;
    }

    List<String> lines() {
        return List.of(
                "true deaths noticed " + seconds(noticed),
                String.format(
                        Locale.ROOT,
                        "running members called gone %d times in %.3f member-hours, refuted %d times%s",
                        falseGone,
                        memberSeconds / 3600,
                        refuted,
                        because.isEmpty()
                                ? ""
                                : ": "
                                        + because.entrySet().stream()
                                                .map(b -> b.getKey() + ' ' + b.getValue())
                                                .collect(Collectors.joining(", "))),
                String.format(Locale.ROOT, "changes told %d, faults and ends of faults %d", changes, faults),
                "all agreed after the last fault " + seconds(agreement),
                "rosters seen in a run, once together: " + plain(rosters),
                "datagrams a second of a member: " + plain(datagrams),
                "bytes a second of a member: " + plain(bytes),
                "bytes a second of a member, once together: " + plain(bytesTogether));
    }

    private static String seconds(Histogram h) {
        return String.format(
                Locale.ROOT,
                "%d times: median %.2f s, p99 %.2f s, worst %.2f s",
                h.getTotalCount(),
                h.getValueAtPercentile(50) / 1e3,
                h.getValueAtPercentile(99) / 1e3,
                h.getMaxValue() / 1e3);
    }

    private static String plain(Histogram h) {
        return String.format(
                Locale.ROOT,
                "median %d, p99 %d, most %d",
                h.getValueAtPercentile(50),
                h.getValueAtPercentile(99),
                h.getMaxValue());
    }
}
