package pepperdock.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import pepperdock.benchmark.NodeListCost;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures what the node list costs one gatherer, by its length. */
@Command(
        name = "list",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description =
                "Measure bytes, processor time and allocation of the node list at a gatherer, by its length; prints a"
                        + " line of JSON each.")
final class ScaleListCommand implements Callable<Integer> {

    @Mixin
    private WorkerCountsOption workerCounts;

    @Option(names = "--rounds", paramLabel = "N", defaultValue = "200", description = "Default: ${DEFAULT-VALUE}")
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
