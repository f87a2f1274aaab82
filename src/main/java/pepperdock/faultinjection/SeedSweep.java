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

/** Runs a script in simulated time over many seeds in parallel; the run of a seed is always the same. */
public final class SeedSweep {

    /** Safeguards of membership that are switched off, to measure their effect. */
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

    private record SeedRun(long seed, List<String> findings, MembershipMetrics metrics, long processorNs) {}

    private SeedSweep() {}

    private static long processorNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    /**
     * Runs {@code count} seeds from {@code first} on; {@code members} above 0 overrides the number of members in the
     * script.
     */
    public static Outcome run(Path file, long first, int count, int members, Arm arm, int threads)
            throws IOException, InterruptedException {
        Script script = ScriptReader.read(file, members);
        MembershipSettings settings =
                arm.of(MembersConfig.timings(new ConfigReader("config", script.config()).requiredObject("members")));
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<SeedRun>> runs = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                Script seeded = script.seeded(first + i);
                runs.add(pool.submit(() -> play(seeded, settings)));
            }
            List<SeedRun> finished = new ArrayList<>();
            for (Future<SeedRun> run : runs) {
                finished.add(run.get());
            }
            String title = String.format(
                    Locale.ROOT,
                    "%d seeds from %d, %d members, arm %s",
                    count,
                    first,
                    script.names().size(),
                    arm.name().toLowerCase(Locale.ROOT));
            return outcome(title, finished);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof ConfigException c) {
                throw c;
            }
            throw new IllegalStateException("the simulation of a seed failed", e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private static SeedRun play(Script script, MembershipSettings settings) throws Exception {
        long startNs = processorNs();
        Checkers checkers = new Checkers(script.checkers());
        String notReached = new MembershipSimulation(script, settings, checkers::onEvent).play(checkers);
        List<String> findings = new ArrayList<>(
                checkers.findings(true).stream().map(Checker.Finding::what).toList());
        if (notReached != null) {
            findings.add(notReached);
        }
        return new SeedRun(script.seed(), findings, checkers.membershipMetrics(), processorNs() - startNs);
    }

    /** Combines the runs into one outcome with their metrics and the first two findings of each failed run. */
    private static Outcome outcome(String title, List<SeedRun> runs) {
        MembershipMetrics all = new MembershipMetrics();
        List<String> findings = new ArrayList<>();
        int failed = 0;
        long processorNs = 0;
        for (SeedRun run : runs) {
            if (run.metrics() != null) {
                all.add(run.metrics());
            }
            processorNs += run.processorNs();
            failed += run.findings().isEmpty() ? 0 : 1;
            run.findings().stream().limit(2).forEach(finding -> findings.add("seed " + run.seed() + ": " + finding));
        }
        List<String> metrics = new ArrayList<>();
        metrics.add(String.format(Locale.ROOT, "%s: %d failed", title, failed));
        metrics.addAll(all.lines());
        metrics.add(String.format(
                Locale.ROOT,
                "processor time of the simulation including checkers: %.1f s, %.3f ms per member and second",
                processorNs / 1e9,
                processorNs / 1e6 / Math.max(1, all.memberSeconds)));
        return new Outcome(true, findings, metrics, 0);
    }
}
