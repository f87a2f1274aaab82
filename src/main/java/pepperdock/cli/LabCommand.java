package pepperdock.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import pepperdock.config.ConfigException;
import pepperdock.faultinjection.FaultInjectionRun;
import pepperdock.faultinjection.Outcome;
import pepperdock.faultinjection.Report;
import pepperdock.faultinjection.SeedSweep;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The laboratory on real processes (docs/rig.md). */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "Several processes of the program on loopback, and faults between them (docs/rig.md).",
        subcommands = {
            LabCommand.FleetCommand.class,
            LabCommand.SimCommand.class,
            LabCommand.CheckCommand.class,
            ExploreCommand.class,
            ScaleCommand.class
        })
final class LabCommand extends CommandGroup {

    /** What a run's exit status says where it does not count: the machine was late, not the program. */
    static final int NOT_COUNTED = 4;

    private static final List<String> MEMBER =
            List.of("-Xmx56m", "-Xss512k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

    private static int tell(PrintWriter out, Outcome outcome, Path history) throws IOException {
        Report.text(history, outcome).forEach(out::println);
        out.println(outcome.verdict());
        return outcome.passed() ? 0 : outcome.valid() ? 1 : NOT_COUNTED;
    }

    /** Plays a script. */
    @Command(
            name = "fleet",
            mixinStandardHelpOptions = true,
            versionProvider = Cli.Version.class,
            description = "Play a script of faults on a fleet of processes, and judge what happened.",
            exitCodeListHeading = "Exit status:%n",
            exitCodeList = {"0:passed", "1:failed", "2:faulty input or usage", "4:does not count, the machine was late"
            })
    static final class FleetCommand implements Callable<Integer> {

        @Parameters(paramLabel = "FILE", description = "The script, as JSON.")
        private Path file;

        @Option(
                names = "--folder",
                paramLabel = "DIR",
                description = "Where logs, history and report go; made by this, so"
                        + " it must not exist. Default: rig-TIME below the folder for temporary files.")
        private Path folder;

        @Option(names = "--seed", paramLabel = "N", description = "Goes before the script's own seed.")
        private Long seed;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Path to = folder != null
                    ? folder
                    : Path.of(
                            System.getProperty("java.io.tmpdir"),
                            "rig-"
                                    + DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmss.SSS", Locale.ROOT)
                                            .withZone(ZoneOffset.UTC)
                                            .format(Instant.now()));
            PrintWriter out = spec.commandLine().getOut();
            out.println("playing in " + to);
            Outcome outcome = FaultInjectionRun.run(file, seed, to, command());
            Path history = to.resolve(FaultInjectionRun.HISTORY);
            Files.writeString(to.resolve("report.html"), Report.html(history, outcome));
            return tell(out, outcome, history);
        }

        /** This very jar, as a gatherer: with the class archive beside it where there is one. */
        private static List<String> command() {
            try {
                Path jar = Path.of(FaultInjectionRun.class
                        .getProtectionDomain()
                        .getCodeSource()
                        .getLocation()
                        .toURI());
                List<String> words = new ArrayList<>(List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString()));
                words.addAll(MEMBER);
                Path archive = jar.resolveSibling(jar.getFileName().toString().replace(".jar", ".jsa"));
                if (Files.isReadable(archive)) {
                    words.addAll(List.of("-XX:SharedArchiveFile=" + archive, "-Xlog:disable"));
                }
                words.addAll(List.of("-jar", jar.toString(), "serve"));
                return words;
            } catch (URISyntaxException e) {
                throw new ConfigException("lab", "can't tell where the jar is");
            }
        }
    }

    /** Plays a script in simulated time. */
    @Command(
            name = "sim",
            mixinStandardHelpOptions = true,
            versionProvider = Cli.Version.class,
            description = "Play a script's membership in simulated time, over many seeds.")
    static final class SimCommand implements Callable<Integer> {

        @Parameters(paramLabel = "FILE", description = "The script, as JSON.")
        private Path file;

        @Option(
                names = "--seeds",
                paramLabel = "N",
                defaultValue = "100",
                description = "How many. Default: ${DEFAULT-VALUE}")
        private int seeds;

        @Option(
                names = "--from",
                paramLabel = "N",
                defaultValue = "1",
                description = "The first. Default: ${DEFAULT-VALUE}")
        private long from;

        @Option(names = "--members", paramLabel = "N", description = "Goes before the script's own count.")
        private int members;

        @Option(
                names = "--arm",
                paramLabel = "ARM",
                defaultValue = "FULL",
                description =
                        "What is left out, to see its worth:" + " ${COMPLETION-CANDIDATES}. Default: ${DEFAULT-VALUE}")
        private SeedSweep.Arm arm;

        @Option(names = "--threads", paramLabel = "N", description = "Seeds played side by side. Default: one a core.")
        private int threads = Runtime.getRuntime().availableProcessors();

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Outcome outcome = SeedSweep.run(file, from, seeds, members, arm, threads);
            PrintWriter out = spec.commandLine().getOut();
            outcome.metrics().forEach(out::println);
            outcome.findings().stream().limit(20).forEach(f -> out.println("FOUND " + f));
            out.println(outcome.verdict());
            return outcome.passed() ? 0 : 1;
        }
    }

    /** Judges a history again. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            versionProvider = Cli.Version.class,
            description = "Judge a history again, by its own checkers or others.")
    static final class CheckCommand implements Callable<Integer> {

        @Parameters(paramLabel = "HISTORY", description = "A history.jsonl that a run left.")
        private Path history;

        @Option(names = "--checkers", split = ",", paramLabel = "NAME", description = "In place of the run's own.")
        private List<String> checkers;

        @Option(names = "--html", paramLabel = "FILE", description = "Write the page anew.")
        private Path html;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException {
            Outcome outcome = FaultInjectionRun.check(history, checkers);
            if (html != null) {
                Files.writeString(html, Report.html(history, outcome));
            }
            return tell(spec.commandLine().getOut(), outcome, history);
        }
    }
}
