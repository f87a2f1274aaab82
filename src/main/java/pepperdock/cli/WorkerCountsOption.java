package pepperdock.cli;

import java.util.List;
import picocli.CommandLine.Option;

/** The numbers of workers to measure with, one after the other. */
final class WorkerCountsOption {

    @Option(
            names = "--workers",
            split = ",",
            paramLabel = "N",
            defaultValue = "100,300,1000,3700",
            description = "Default: ${DEFAULT-VALUE}")
    private List<Integer> workers;

    /** Numbers of workers, in the order in which they are measured. */
    List<Integer> workers() {
        return workers;
    }
}
