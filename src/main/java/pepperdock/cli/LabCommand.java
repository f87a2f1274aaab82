package pepperdock.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import pepperdock.faultinjection.FaultInjectionRun;
import pepperdock.faultinjection.Outcome;
import pepperdock.faultinjection.Report;
import pepperdock.faultinjection.SeedSweep;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The group of commands for fault injection, simulations and benchmarks (docs/rig.md). */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "Fault injection between several processes of the program on loopback, simulations"
                + " and benchmarks (docs/rig.md).",
        subcommands = {
            LabCommand.FleetCommand.class,
            LabCommand.SimCommand.class,
            LabCommand.CheckCommand.class,
            ExploreCommand.class,
            ScaleCommand.class,
            UpgradeCommand.class,
            OverloadCommand.class
        })
final class LabCommand extends CommandGroup {

    /** Exit status of a run that does not count, as the machine was late, not the program. */
    static final int NOT_COUNTED = 4;

    private static int printOutcome(PrintWriter out, Outcome outcome, Path history) throws IOException {
        Report.text(history, outcome).forEach(out::println);
        out.println(outcome.verdict());
        return outcome.passed() ? 0 : outcome.valid() ? 1 : NOT_COUNTED;
    }

    /** Plays a script of faults on a fleet of processes. */
    @Command(
            name = "fleet",
            mixinStandardHelpOptions = true,
            versionProvider = Cli.Version.class,
            description = "Play a script of faults on a fleet of processes, and check what happened.",
            exitCodeListHeading = "Exit status:%n",
            exitCodeList = {"0:passed", "1:failed", "2:faulty input or usage", "4:does not count, the machine was late"
            })
    static final class FleetCommand implements Callable<Integer> {

        @Parameters(paramLabel = "FILE", description = "The script, as JSON.")
        private Path file;

        @Option(
                names = "--folder",
                paramLabel = "DIR",
                description = "Folder for logs, history and report; it is created, so"
                        + " it must not exist. Default: rig-TIME in the folder for temporary files.")
        private Path folder;

        @Option(names = "--seed", paramLabel = "N", description = "Overrides the seed of the script.")
        private Long seed;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Path runFolder = folder != null
                    ? folder
                    : Path.of(
                            System.getProperty("java.io.tmpdir"),
                            "rig-"
                                    + DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmss.SSS", Locale.ROOT)
                                            .withZone(ZoneOffset.UTC)
                                            .format(Instant.now()));
            PrintWriter out = spec.commandLine().getOut();
            out.println("playing the script in " + runFolder);
            Outcome outcome = FaultInjectionRun.run(file, seed, runFolder, GathererCommand.ofThisJar());
            Path history = runFolder.resolve(FaultInjectionRun.HISTORY);
            Files.writeString(runFolder.resolve("report.html"), Report.html(history, outcome));
            return printOutcome(out, outcome, history);
        }
    }

    /** Plays the membership of a script in simulated time. */
    @Command(
            name = "sim",
            mixinStandardHelpOptions = true,
            versionProvider = Cli.Version.class,
            description = "Play the membership of a script in simulated time, with many seeds.")
    static final class SimCommand implements Callable<Integer> {

        @Parameters(paramLabel = "FILE", description = "The script, as JSON.")
        private Path file;

        @Option(
                names = "--seeds",
                paramLabel = "N",
                defaultValue = "100",
                description = "Number of seeds. Default: ${DEFAULT-VALUE}")
        private int seeds;

        @Option(
                names = "--from",
                paramLabel = "N",
                defaultValue = "1",
                description = "The first seed. Default: ${DEFAULT-VALUE}")
        private long from;

        @Option(names = "--members", paramLabel = "N", description = "Overrides the number of members in the script.")
        private int members;

        @Option(
                names = "--arm",
                paramLabel = "ARM",
                defaultValue = "FULL",
                description = "Which parts of the protocol are left out, to measure their effect:"
                        + " ${COMPLETION-CANDIDATES}. Default: ${DEFAULT-VALUE}")
        private SeedSweep.Arm arm;

        @Option(
                names = "--threads",
                paramLabel = "N",
                description = "Number of seeds played in parallel. Default: one per core.")
        private int threads = Runtime.getRuntime().availableProcessors();

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Outcome outcome = SeedSweep.run(file, from, seeds, members, arm, threads);
            PrintWriter out = spec.commandLine().getOut();
            outcome.metrics().forEach(out::println);
            outcome.findings().stream().limit(20).forEach(finding -> out.println("FOUND " + finding));
            out.println(outcome.verdict());
            return outcome.passed() ? 0 : 1;
        }
    }

    /** Checks the history of an earlier run again. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            versionProvider = Cli.Version.class,
            description = "Check the history of an earlier run again, with the checkers of the run or others.")
    static final class CheckCommand implements Callable<Integer> {

        @Parameters(paramLabel = "HISTORY", description = "The history.jsonl of a run.")
        private Path history;

        @Option(
                names = "--checkers",
                split = ",",
                paramLabel = "NAME",
                description = "Checkers to use instead of those of the run.")
        private List<String> checkers;

        @Option(names = "--html", paramLabel = "FILE", description = "Write the report to this file.")
        private Path html;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            Outcome outcome = FaultInjectionRun.check(history, checkers);
            if (html != null) {
                Files.writeString(html, Report.html(history, outcome));
            }
            return printOutcome(spec.commandLine().getOut(), outcome, history);
        }
    }
}
