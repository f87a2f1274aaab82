package pepperdock.faultinjection;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import pepperdock.config.ConfigException;
import pepperdock.config.ConfigReader;
import pepperdock.config.MembersConfig;
import pepperdock.membership.MembershipSettings;

/** A script in simulated time over many seeds, side by side, each seed by itself the same as ever. */
public final class Seeds {

    /** What is left out of membership, to see its worth. */
    public enum Arm {
        FULL,
        NO_SELF_DOUBT,
        ONE_OBSERVER,
        PLAIN;

        MembershipSettings of(MembershipSettings settings) {
            boolean one = this == ONE_OBSERVER || this == PLAIN;
            return new MembershipSettings(
                    settings.probeIntervalS(),
                    settings.suspicionTimeoutS(),
                    settings.confirmationS(),
                    settings.observers(),
                    one ? 0.01 : settings.highWatermark(),
                    one ? 1 : settings.lowWatermark(),
                    settings.indirectProbes(),
                    settings.slowThresholdS(),
                    settings.syncIntervalS(),
                    settings.retentionS(),
                    settings.datagramsPerS(),
                    settings.bytesPerS(),
                    settings.maxMembers(),
                    this == FULL || this == ONE_OBSERVER);
        }
    }

    private record Run(long seed, List<String> findings, MembershipMetrics metrics, long processorNs) {}

    private Seeds() {}

    private static long processorNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    /** Plays so many seeds from the first on; {@code members} goes before the script's own count where it is above 0. */
    public static Outcome run(Path file, long first, int count, int members, Arm arm, int threads)
            throws IOException, InterruptedException {
        Script script = ScriptReader.read(file, members);
        MembershipSettings settings =
                arm.of(MembersConfig.timings(new ConfigReader("config", script.config()).requiredObject("members")));
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<Run>> runs = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                Script drawn = script.seeded(first + i);
                runs.add(pool.submit(() -> play(drawn, settings)));
            }
            List<Run> ended = new ArrayList<>();
            for (Future<Run> run : runs) {
                ended.add(run.get());
            }
            String title = String.format(
                    Locale.ROOT,
                    "%d seeds from %d, %d members, arm %s",
                    count,
                    first,
                    script.names().size(),
                    arm.name().toLowerCase(Locale.ROOT));
            return outcome(title, ended);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof ConfigException c) {
                throw c;
            }
            throw new IllegalStateException("a seed could not be played", e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private static Run play(Script script, MembershipSettings settings) throws Exception {
        long began = processorNs();
        Checkers checkers = new Checkers(script.checkers());
        String unmet = new MembershipSimulation(script, settings, checkers::see).play(checkers);
        List<String> findings = new ArrayList<>(
                checkers.findings(true).stream().map(Checker.Finding::what).toList());
        if (unmet != null) {
            findings.add(unmet);
        }
        return new Run(script.seed(), findings, checkers.membershipMetrics(), processorNs() - began);
    }

    /** The runs taken together, with the first findings of each. */
    private static Outcome outcome(String title, List<Run> runs) {
        MembershipMetrics all = new MembershipMetrics();
        List<String> findings = new ArrayList<>();
        int failed = 0;
        long processorNs = 0;
        for (Run run : runs) {
            if (run.metrics() != null) {
                all.add(run.metrics());
            }
            processorNs += run.processorNs();
            failed += run.findings().isEmpty() ? 0 : 1;
            run.findings().stream().limit(2).forEach(x -> findings.add("seed " + run.seed() + ": " + x));
        }
        List<String> metrics = new ArrayList<>();
        metrics.add(String.format(Locale.ROOT, "%s: %d failed", title, failed));
        metrics.addAll(all.lines());
        metrics.add(String.format(
                Locale.ROOT,
                "processor time of the playing, its checkers included: %.1f s, %.3f ms a member and second",
                processorNs / 1e9,
                processorNs / 1e6 / Math.max(1, all.memberSeconds)));
        return new Outcome(true, findings, metrics, 0);
    }
}
