package pepperdock.cli;

import java.util.List;
import picocli.CommandLine.Option;

/** The option for the numbers of workers, shared by the commands that measure with one number after the other. */
final class WorkerCountsOption {

    @Option(
            names = "--workers",
            split = ",",
            paramLabel = "N",
            defaultValue = "100,300,1000,3700",
            description = "Numbers of workers to measure with, separated by commas. Default: ${DEFAULT-VALUE}")
    private List<Integer> workers;

    /** Returns the numbers of workers, in the order of measurement. */
    List<Integer> workers() {
        return workers;
    }
}
