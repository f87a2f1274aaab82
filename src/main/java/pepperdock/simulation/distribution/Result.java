package pepperdock.simulation.distribution;

import java.util.List;

/** The result of one run: its setup, findings and metrics. */
public record Result(Setup setup, List<Finding> findings, DistributionMetrics figures) {

    /** Copies the findings. */
    public Result {
        findings = List.copyOf(findings);
    }
}
