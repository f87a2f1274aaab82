package pepperdock.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import pepperdock.simulation.distribution.DistributionMetrics;
import pepperdock.simulation.distribution.HardCase;
import pepperdock.simulation.distribution.Result;
import pepperdock.simulation.distribution.Setup;
import pepperdock.simulation.distribution.Simulation;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Simulates the distribution of configuration to many gatherers and checks it. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description =
                "Distribute changes of configuration to many gatherers in simulated time, under hard cases, and check"
                        + " the invariants (docs/design/distribution.md).",
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {"0:passed", "1:a check failed", "2:faulty input or usage"})
final class ScaleConfigCommand implements Callable<Integer> {

    private static final double P99 = 0.99;
    private static final long MILLIS_PER_S = 1000;

    @Option(
            names = "--gatherers",
            paramLabel = "N",
            split = ",",
            defaultValue = "50,100,200,500",
            description = "Numbers of gatherers to simulate, separated by commas. Default: ${DEFAULT-VALUE}")
    private List<Integer> gatherers;

    @Option(
            names = "--case",
            paramLabel = "CASE",
            split = ",",
            description = "Cases to run, separated by commas: ${COMPLETION-CANDIDATES}. Default: all")
    private List<HardCase> cases = List.of(HardCase.values());

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "1",
            description = "Number of seeds. Default: ${DEFAULT-VALUE}")
    private int seeds;

    @Option(
            names = "--from",
            paramLabel = "N",
            defaultValue = "1",
            description = "The first seed. Default: ${DEFAULT-VALUE}")
    private long from;

    @Option(
            names = "--cut",
            paramLabel = "SECONDS",
            defaultValue = "360",
            description = "Time for which a region is cut off. Default: ${DEFAULT-VALUE}")
    private long cutSeconds;

    @Mixin
    private ConfigurationSizeOption configurationSize;

    @Option(names = "--json", description = "Print each row as a line of JSON.")
    private boolean json;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        checkOptions();
        PrintWriter out = spec.commandLine().getOut();
        boolean passed = true;
        if (!json) {
            out.println("gatherers case changes | in force everywhere, ms: median p99 worst (raw worst) | first version"
                    + " on an empty disk, ms: p99 worst | bytes per second at a gatherer: median p99 max"
                    + " | at a control machine: median p99 max | findings");
        }
        for (int count : gatherers) {
            for (HardCase hardCase : cases) {
                passed &= runCase(out, count, hardCase);
                out.flush();
            }
        }
        messageWriter().println(passed ? "passed" : "failed");
        return passed ? 0 : 1;
    }

    /** Returns the writer for output other than rows, so that with {@code --json} standard output has only JSON. */
    private PrintWriter messageWriter() {
        return json ? spec.commandLine().getErr() : spec.commandLine().getOut();
    }

    /** Rejects options with which nothing would be simulated: such a run must not pass. */
    private void checkOptions() {
        boolean valid = seeds >= 1
                && cutSeconds >= 1
                && configurationSize.bytes() >= 1
                && gatherers.stream().allMatch(count -> count >= 1);
        if (!valid) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--gatherers, --seeds, --cut and --bytes must be 1 or more");
        }
    }

    /** Simulates a case with each seed and prints its row; returns whether there are no findings. */
    private boolean runCase(PrintWriter out, int count, HardCase hardCase) throws IOException {
        DistributionMetrics metrics = DistributionMetrics.none();
        int findings = 0;
        for (long seed = from; seed < from + seeds; seed++) {
            Setup setup = Setup.of(hardCase, count, seed)
                    .withLongCut(cutSeconds * MILLIS_PER_S)
                    .withConfigurationBytes(configurationSize.bytes());
            Result result = new Simulation(setup).run();
            metrics.add(result.figures());
            findings += result.findings().size();
            long foundWithSeed = seed;
            result.findings().stream()
                    .limit(5)
                    .forEach(finding -> out.println(
                            "FOUND " + hardCase + ", " + count + " gatherers, seed " + foundWithSeed + ": " + finding));
        }
        out.println(json ? jsonRow(count, hardCase, metrics, findings) : textRow(count, hardCase, metrics, findings));
        return findings == 0;
    }

    private static String textRow(int count, HardCase hardCase, DistributionMetrics metrics, int findings) {
        return String.format(
                Locale.ROOT,
                "%d %s %d | %d %d %d (%d) | %d %d | %d %d %d | %d %d %d | %d",
                count,
                hardCase,
                metrics.changes(),
                metrics.everywhere(0.5),
                metrics.everywhere(P99),
                metrics.everywhere(1),
                metrics.everywhereRaw(1),
                metrics.firstVersion(P99),
                metrics.firstVersion(1),
                metrics.gathererBytes(0.5),
                metrics.gathererBytes(P99),
                metrics.gathererMost(),
                metrics.controlBytes(0.5),
                metrics.controlBytes(P99),
                metrics.controlMost(),
                findings);
    }

    private static String jsonRow(int count, HardCase hardCase, DistributionMetrics metrics, int findings)
            throws IOException {
        StringWriter json = new StringWriter();
        try (JsonGenerator generator = new JsonFactory().createGenerator(json)) {
            generator.writeStartObject();
            generator.writeNumberField("gatherers", count);
            generator.writeStringField("case", hardCase.name());
            generator.writeNumberField("courses", metrics.courses());
            generator.writeNumberField("changes", metrics.changes());
            writeArray(
                    generator,
                    "everywhere_ms",
                    metrics.everywhere(0.5),
                    metrics.everywhere(P99),
                    metrics.everywhere(1));
            writeArray(
                    generator,
                    "everywhere_raw_ms",
                    metrics.everywhereRaw(0.5),
                    metrics.everywhereRaw(P99),
                    metrics.everywhereRaw(1));
            writeArray(generator, "each_ms", metrics.each(0.5), metrics.each(P99), metrics.each(1));
            writeArray(
                    generator,
                    "first_version_ms",
                    metrics.firstVersion(0.5),
                    metrics.firstVersion(P99),
                    metrics.firstVersion(1));
            writeArray(
                    generator,
                    "gatherer_bytes_s",
                    metrics.gathererBytes(0.5),
                    metrics.gathererBytes(P99),
                    metrics.gathererMost());
            writeArray(
                    generator,
                    "control_bytes_s",
                    metrics.controlBytes(0.5),
                    metrics.controlBytes(P99),
                    metrics.controlMost());
            generator.writeNumberField("findings", findings);
            generator.writeNumberField("never_in_force", metrics.neverInForce());
            generator.writeEndObject();
        }
        return json.toString();
    }

    /** Writes the median, p99 and maximum as an array. */
    private static void writeArray(JsonGenerator generator, String name, long median, long p99, long max)
            throws IOException {
        generator.writeFieldName(name);
        generator.writeArray(new long[] {median, p99, max}, 0, 3);
    }
}
