package pepperdock.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import pepperdock.benchmark.NodeListCost;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the cost of the endpoint list at one gatherer by the length of the list. */
@Command(
        name = "list",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description =
                "Measure bytes, processor time and allocation of the endpoint list at a gatherer, by the length of the"
                        + " list, and print a line of JSON for each length.")
final class ScaleListCommand implements Callable<Integer> {

    @Mixin
    private WorkerCountsOption workerCounts;

    @Option(
            names = "--rounds",
            paramLabel = "N",
            defaultValue = "200",
            description = "Number of measurements of each length. Default: ${DEFAULT-VALUE}")
    private int rounds;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        NodeListCost.run(workerCounts.workers(), rounds, out::println);
        return 0;
    }
}
