package pepperdock.scheduler;

/**
 * The result of a health check.
 *
 * @param endpointId endpoint that was checked
 * @param outcome how the check ended
 * @param elapsedS seconds from the check to its outcome
 * @param report load report of the endpoint, {@link LoadReport#NONE} without one
 */
public record HealthCheckResult(String endpointId, AttemptOutcome outcome, double elapsedS, LoadReport report) {}
