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

/** Distribution of configuration over loopback, measured. */
@Command(
        name = "streams",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description =
                "Distribute configuration to hollow subscribers in this process over loopback, and measure processor"
                        + " time and memory (docs/design/distribution.md).")
final class ScaleStreamsCommand implements Callable<Integer> {

    @Option(
            names = "--subscribers",
            paramLabel = "N",
            split = ",",
            defaultValue = "50,100,200,500",
            description = "How many; several, one after the other, with commas. Default: ${DEFAULT-VALUE}")
    private List<Integer> subscribers;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "10",
            description = "Idle, and as many with a change each second. Default: ${DEFAULT-VALUE}")
    private int seconds;

    @Mixin
    private ConfigurationSizeOption configurationSize;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (seconds < 1 || configurationSize.bytes() < 1 || subscribers.stream().anyMatch(n -> n < 1)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--subscribers, --seconds and --bytes are to be 1 or more");
        }
        PrintWriter out = spec.commandLine().getOut();
        out.println("subscribers | first version at all, ms | heap of a pair, bytes | a subscriber, % of a core: idle,"
                + " changing | busiest control machine: idle, changing | bytes a second of a subscriber: idle, changing"
                + " | a change at all, ms: median, worst");
        for (int count : subscribers) {
            StreamFigures f = Streams.measure(count, configurationSize.bytes(), seconds);
            out.println(String.format(
                    Locale.ROOT,
                    "%d | %d | %d | %.4f %.4f | %.3f %.3f | %d %d | %d %d",
                    f.subscribers(),
                    f.firstVersionMillis(),
                    f.pairBytes(),
                    f.subscriberIdlePercent(),
                    f.subscriberChangingPercent(),
                    f.controlIdlePercent(),
                    f.controlChangingPercent(),
                    f.subscriberIdleBytes(),
                    f.subscriberChangingBytes(),
                    f.changeMedianMillis(),
                    f.changeWorstMillis()));
            out.flush();
        }
        return 0;
    }
}
