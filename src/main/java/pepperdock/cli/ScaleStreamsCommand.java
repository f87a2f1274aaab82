package pepperdock.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import pepperdock.simulation.distribution.StreamFigures;
import pepperdock.simulation.distribution.Streams;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the distribution of configuration over loopback. */
@Command(
        name = "streams",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "Distribute configuration over loopback to subscribers in this process that do nothing else, and"
                + " measure processor time and memory (docs/design/distribution.md).")
final class ScaleStreamsCommand implements Callable<Integer> {

    @Option(
            names = "--subscribers",
            paramLabel = "N",
            split = ",",
            defaultValue = "50,100,200,500",
            description = "Numbers of subscribers to measure with, separated by commas. Default: ${DEFAULT-VALUE}")
    private List<Integer> subscribers;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "10",
            description = "Time measured while idle, and again with a change each second. Default: ${DEFAULT-VALUE}")
    private int seconds;

    @Mixin
    private ConfigurationSizeOption configurationSize;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (seconds < 1 || configurationSize.bytes() < 1 || subscribers.stream().anyMatch(count -> count < 1)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--subscribers, --seconds and --bytes must be 1 or more");
        }
        PrintWriter out = spec.commandLine().getOut();
        out.println("subscribers | first version at all subscribers, ms | heap per subscriber and its session, bytes"
                + " | CPU per subscriber, % of a core: idle, changing"
                + " | busiest control machine, % of a core: idle, changing"
                + " | bytes per second per subscriber: idle, changing | change at all subscribers, ms: median, worst");
        for (int count : subscribers) {
            StreamFigures figures = Streams.measure(count, configurationSize.bytes(), seconds);
            out.println(String.format(
                    Locale.ROOT,
                    "%d | %d | %d | %.4f %.4f | %.3f %.3f | %d %d | %d %d",
                    figures.subscribers(),
                    figures.firstVersionMillis(),
                    figures.pairBytes(),
                    figures.subscriberIdlePercent(),
                    figures.subscriberChangingPercent(),
                    figures.controlIdlePercent(),
                    figures.controlChangingPercent(),
                    figures.subscriberIdleBytes(),
                    figures.subscriberChangingBytes(),
                    figures.changeMedianMillis(),
                    figures.changeWorstMillis()));
            out.flush();
        }
        return 0;
    }
}
