package pepperdock.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import pepperdock.benchmark.DataPath;
import pepperdock.benchmark.Results;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The group of commands that measure how cost grows with the size of the deployment (docs/design/scale.md). */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "Measure how cost grows with the size of the deployment (docs/design/scale.md).",
        subcommands = {
            ScaleCommand.DataCommand.class,
            ScaleListCommand.class,
            ScaleConfigCommand.class,
            ScaleStreamsCommand.class
        })
final class ScaleCommand extends CommandGroup {
    /** Measures the data path of a gatherer. */
    @Command(
            name = "data",
            mixinStandardHelpOptions = true,
            versionProvider = Cli.Version.class,
            description = "Measure a gatherer's processor time, allocation, memory and latency, by workers, fan-out and"
                    + " load. Writes results.json and report.html to the folder.")
    static final class DataCommand implements Callable<Integer> {

        @Parameters(paramLabel = "WHAT", description = "What to measure, one of ${COMPLETION-CANDIDATES}.")
        private DataPath.Measurement what;

        @Mixin
        private WorkerCountsOption workerCounts;

        @Option(
                names = "--fan-outs",
                split = ",",
                paramLabel = "N",
                defaultValue = "10,100,300,1000",
                description = "Numbers of parts of a query; those above the number of workers are skipped."
                        + " Default: ${DEFAULT-VALUE}")
        private List<Integer> fanOuts;

        @Option(
                names = "--parts-per-second",
                split = ",",
                paramLabel = "N",
                defaultValue = "10000",
                description = "Loads in parts per second; LOAD measures with each, the others with the first."
                        + " Default: ${DEFAULT-VALUE}")
        private List<Integer> partsPerSecond;

        @Option(
                names = "--holders",
                paramLabel = "N",
                defaultValue = "3",
                description = "Number of workers that hold each shard. Default: ${DEFAULT-VALUE}")
        private int holders;

        @Option(
                names = "--tick-ms",
                paramLabel = "MS",
                defaultValue = "1",
                description = "The setting TickS, in milliseconds. Default: ${DEFAULT-VALUE}")
        private double tickMs;

        @Option(
                names = "--stragglers",
                description = "Delay one part in 10,000 by 60 ms, and allow it to be sent a second time meanwhile.")
        private boolean stragglers;

        @Option(
                names = "--patient",
                description = "Set objective and deadline far beyond the target's, so that all queries are served,"
                        + " however late.")
        private boolean patient;

        @Option(
                names = "--first-warm-up",
                paramLabel = "S",
                defaultValue = "8",
                description = "Warm-up of each process before its first load, in seconds. Default: ${DEFAULT-VALUE}")
        private double firstWarmUpS;

        @Option(
                names = "--warm-up",
                paramLabel = "S",
                defaultValue = "1",
                description = "Warm-up of each load, in seconds. Default: ${DEFAULT-VALUE}")
        private double warmUpS;

        @Option(
                names = "--seconds",
                paramLabel = "S",
                defaultValue = "4",
                description = "Time measured of each load, in seconds. Default: ${DEFAULT-VALUE}")
        private double measuredS;

        @Option(
                names = "--profile",
                description =
                        "Sample the thread of the event loop during the measurement, which costs a little of its time.")
        private boolean profiled;

        @Option(
                names = "--parts-a-connection",
                paramLabel = "N",
                defaultValue = "0",
                description = "Measure MEMORY after about this many parts have gone over each connection."
                        + " Default: ${DEFAULT-VALUE}")
        private int partsPerConnection;

        @Option(
                names = "--jvm",
                paramLabel = "FLAGS",
                defaultValue = "-Xms512m -Xmx512m -XX:+UseSerialGC",
                description = "JVM flags of the gatherer's process. Default: ${DEFAULT-VALUE}")
        private String jvm;

        @Option(
                names = "--folder",
                paramLabel = "DIR",
                required = true,
                description = "Folder for the results; it is created, so it must not exist.")
        private Path folder;

        @Option(
                names = "--seed",
                paramLabel = "N",
                defaultValue = "1",
                description = "Seed of the random generator. Default: ${DEFAULT-VALUE}")
        private long seed;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException {
            if (patient && stragglers) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(),
                        "--patient can't be combined with --stragglers, as it serves every part once");
            }
            if (Files.exists(folder)) {
                throw new CommandLine.ParameterException(spec.commandLine(), folder + " exists already");
            }
            Files.createDirectories(folder);
            DataPath.Plan plan = new DataPath.Plan(
                    what,
                    workerCounts.workers(),
                    fanOuts,
                    partsPerSecond,
                    holders,
                    tickMs / 1e3,
                    stragglers,
                    patient,
                    firstWarmUpS,
                    warmUpS,
                    measuredS,
                    profiled,
                    partsPerConnection,
                    Arrays.asList(jvm.trim().split("\\s+")),
                    folder,
                    seed);
            PrintWriter out = spec.commandLine().getOut();
            Results results = DataPath.run(plan, out::println);
            String arguments =
                    String.join(" ", spec.commandLine().getParseResult().originalArgs());
            Files.writeString(
                    folder.resolve("results.json"), results.json(arguments).toString());
            Files.writeString(folder.resolve("report.html"), results.html(arguments));
            return 0;
        }
    }
}
