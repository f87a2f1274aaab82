package pepperdock.simulation.distribution;

import java.util.List;

/** What became of one course. */
public record Result(Setup setup, List<Finding> findings, DistributionMetrics figures) {

    /** Copies the findings. */
    public Result {
        findings = List.copyOf(findings);
    }
}
