package pepperdock.scheduler;

/**
 * How one attempt at a part ended.
 *
 * @param partId {@link PartArrival#id} of the part
 * @param attempt number of the attempt, from 0 in order of sending
 * @param endpointId endpoint that the attempt was sent to
 * @param outcome how it ended
 * @param elapsedS seconds from the send to the outcome
 * @param report load report of the endpoint, {@link LoadReport#NONE} without one
 */
public record AttemptResult(
        long partId, int attempt, String endpointId, AttemptOutcome outcome, double elapsedS, LoadReport report) {}
