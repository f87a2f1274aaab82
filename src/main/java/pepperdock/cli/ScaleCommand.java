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

/** How cost grows with the size of the deployment (docs/design/scale.md). */
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
    /** Of the gatherer's data path. */
    @Command(
            name = "data",
            mixinStandardHelpOptions = true,
            versionProvider = Cli.Version.class,
            description = "Measure a gatherer's processor time, allocation, memory and latency, by workers, fan-out and"
                    + " load. Leaves results.json and report.html in the folder.")
    static final class DataCommand implements Callable<Integer> {

        @Parameters(paramLabel = "WHAT", description = "One of ${COMPLETION-CANDIDATES}.")
        private DataPath.Measurement what;

        @Mixin
        private WorkerCountsOption workerCounts;

        @Option(
                names = "--fan-outs",
                split = ",",
                paramLabel = "N",
                defaultValue = "10,100,300,1000",
                description = "Parts of a query; those above the workers are left out. Default: ${DEFAULT-VALUE}")
        private List<Integer> fanOuts;

        @Option(
                names = "--parts-per-second",
                split = ",",
                paramLabel = "N",
                defaultValue = "10000",
                description = "Loads; LOAD plays each, the others the first. Default: ${DEFAULT-VALUE}")
        private List<Integer> partsPerSecond;

        @Option(
                names = "--holders",
                paramLabel = "N",
                defaultValue = "3",
                description = "Workers that hold a shard. Default: ${DEFAULT-VALUE}")
        private int holders;

        @Option(
                names = "--tick-ms",
                paramLabel = "MS",
                defaultValue = "1",
                description = "The setting TickS. Default: ${DEFAULT-VALUE}")
        private double tickMs;

        @Option(
                names = "--stragglers",
                description = "One part in 10,000 takes 60 ms more, and may be sent a second time meanwhile.")
        private boolean stragglers;

        @Option(
                names = "--patient",
                description = "Aim and deadline far beyond the target's: all queries are served, however late.")
        private boolean patient;

        @Option(
                names = "--first-warm-up",
                paramLabel = "S",
                defaultValue = "8",
                description = "Of each process, before its first load. Default: ${DEFAULT-VALUE}")
        private double firstWarmS;

        @Option(
                names = "--warm-up",
                paramLabel = "S",
                defaultValue = "1",
                description = "Of each load. Default: ${DEFAULT-VALUE}")
        private double warmS;

        @Option(
                names = "--seconds",
                paramLabel = "S",
                defaultValue = "4",
                description = "Measured of each load. Default: ${DEFAULT-VALUE}")
        private double measureS;

        @Option(names = "--profile", description = "Sample the loop's thread meanwhile; costs a little of its time.")
        private boolean profiled;

        @Option(
                names = "--parts-a-connection",
                paramLabel = "N",
                defaultValue = "0",
                description = "MEMORY is taken when about so many parts have gone over each connection."
                        + " Default: ${DEFAULT-VALUE}")
        private int partsAConnection;

        @Option(
                names = "--jvm",
                paramLabel = "FLAGS",
                defaultValue = "-Xms512m -Xmx512m -XX:+UseSerialGC",
                description = "Of the gatherer's process. Default: ${DEFAULT-VALUE}")
        private String jvm;

        @Option(names = "--folder", paramLabel = "DIR", required = true, description = "Made by this; must not exist.")
        private Path folder;

        @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Default: ${DEFAULT-VALUE}")
        private long seed;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws IOException, InterruptedException {
            if (patient && stragglers) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--patient serves every part once: not with --stragglers");
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
                    firstWarmS,
                    warmS,
                    measureS,
                    profiled,
                    partsAConnection,
                    Arrays.asList(jvm.trim().split("\\s+")),
                    folder,
                    seed);
            PrintWriter out = spec.commandLine().getOut();
            Results results = DataPath.run(plan, out::println);
            String words = String.join(" ", spec.commandLine().getParseResult().originalArgs());
            Files.writeString(
                    folder.resolve("results.json"), results.json(words).toString());
            Files.writeString(folder.resolve("report.html"), results.html(words));
            return 0;
        }
    }
}
