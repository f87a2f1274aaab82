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

/** Distribution of configuration in simulated time. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description =
                "Distribute changes of configuration to many gatherers in simulated time, under hard cases, and check"
                        + " what must hold (docs/design/distribution.md).",
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {"0:passed", "1:a check failed", "2:faulty input or usage"})
final class ScaleConfigCommand implements Callable<Integer> {

    private static final double P99 = 0.99;
    private static final long SECOND_MILLIS = 1000;

    @Option(
            names = "--gatherers",
            paramLabel = "N",
            split = ",",
            defaultValue = "50,100,200,500",
            description = "How many; several, one after the other, with commas. Default: ${DEFAULT-VALUE}")
    private List<Integer> gatherers;

    @Option(
            names = "--case",
            paramLabel = "CASE",
            split = ",",
            description = "Only these: ${COMPLETION-CANDIDATES}. Default: all")
    private List<HardCase> cases = List.of(HardCase.values());

    @Option(names = "--seeds", paramLabel = "N", defaultValue = "1", description = "Default: ${DEFAULT-VALUE}")
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
            description = "For how long a region is cut off. Default: ${DEFAULT-VALUE}")
    private long cutSeconds;

    @Mixin
    private ConfigurationSizeOption configurationSize;

    @Option(names = "--json", description = "A line of JSON for each row.")
    private boolean json;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException {
        check();
        PrintWriter out = spec.commandLine().getOut();
        boolean passed = true;
        if (!json) {
            out.println(
                    "gatherers case changes | in force everywhere, ms: median p99 worst (raw worst) | first version on an"
                            + " empty disk, ms: p99 worst | bytes a second at a gatherer: median p99 most | at a control machine:"
                            + " median p99 most | findings");
        }
        for (int count : gatherers) {
            for (HardCase hardCase : cases) {
                passed &= row(out, count, hardCase);
                out.flush();
            }
        }
        remarks().println(passed ? "passed" : "failed");
        return passed ? 0 : 1;
    }

    /** Where what is no row goes: beside the lines of JSON. */
    private PrintWriter remarks() {
        return json ? spec.commandLine().getErr() : spec.commandLine().getOut();
    }

    /** A run of nothing must not pass. */
    private void check() {
        boolean some = seeds >= 1
                && cutSeconds >= 1
                && configurationSize.bytes() >= 1
                && gatherers.stream().allMatch(n -> n >= 1);
        if (!some) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--gatherers, --seeds, --cut and --bytes are to be 1 or more");
        }
    }

    /** Whether nothing was found. */
    private boolean row(PrintWriter out, int count, HardCase hardCase) throws IOException {
        DistributionMetrics figures = DistributionMetrics.none();
        int found = 0;
        for (long seed = from; seed < from + seeds; seed++) {
            Setup setup = Setup.of(hardCase, count, seed)
                    .withLongCut(cutSeconds * SECOND_MILLIS)
                    .withConfigurationBytes(configurationSize.bytes());
            Result result = new Simulation(setup).run();
            figures.add(result.figures());
            found += result.findings().size();
            long of = seed;
            result.findings().stream()
                    .limit(5)
                    .forEach(
                            f -> out.println("FOUND " + hardCase + ", " + count + " gatherers, seed " + of + ": " + f));
        }
        out.println(json ? line(count, hardCase, figures, found) : text(count, hardCase, figures, found));
        return found == 0;
    }

    private static String text(int count, HardCase hardCase, DistributionMetrics f, int found) {
        return String.format(
                Locale.ROOT,
                "%d %s %d | %d %d %d (%d) | %d %d | %d %d %d | %d %d %d | %d",
                count,
                hardCase,
                f.changes(),
                f.everywhere(0.5),
                f.everywhere(P99),
                f.everywhere(1),
                f.everywhereRaw(1),
                f.firstVersion(P99),
                f.firstVersion(1),
                f.gathererBytes(0.5),
                f.gathererBytes(P99),
                f.gathererMost(),
                f.controlBytes(0.5),
                f.controlBytes(P99),
                f.controlMost(),
                found);
    }

    private static String line(int count, HardCase hardCase, DistributionMetrics f, int found) throws IOException {
        StringWriter line = new StringWriter();
        try (JsonGenerator to = new JsonFactory().createGenerator(line)) {
            to.writeStartObject();
            to.writeNumberField("gatherers", count);
            to.writeStringField("case", hardCase.name());
            to.writeNumberField("courses", f.courses());
            to.writeNumberField("changes", f.changes());
            array(to, "everywhere_ms", f.everywhere(0.5), f.everywhere(P99), f.everywhere(1));
            array(to, "everywhere_raw_ms", f.everywhereRaw(0.5), f.everywhereRaw(P99), f.everywhereRaw(1));
            array(to, "each_ms", f.each(0.5), f.each(P99), f.each(1));
            array(to, "first_version_ms", f.firstVersion(0.5), f.firstVersion(P99), f.firstVersion(1));
            array(to, "gatherer_bytes_s", f.gathererBytes(0.5), f.gathererBytes(P99), f.gathererMost());
            array(to, "control_bytes_s", f.controlBytes(0.5), f.controlBytes(P99), f.controlMost());
            to.writeNumberField("findings", found);
            to.writeNumberField("never_in_force", f.neverInForce());
            to.writeEndObject();
        }
        return line.toString();
    }

    /** Median, p99 and the most. */
    private static void array(JsonGenerator to, String name, long median, long p99, long most) throws IOException {
        to.writeFieldName(name);
        to.writeArray(new long[] {median, p99, most}, 0, 3);
    }
}
