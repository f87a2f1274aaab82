package pepperdock.scheduler;

/**
 * The result of one attempt at a part.
 *
 * @param partId {@link PartArrival#id} of the part
 * @param attempt number of the attempt, from 0 in order of sending
 * @param endpointId endpoint that the attempt was sent to
 * @param outcome how the attempt ended
 * @param elapsedS seconds from sending the attempt to its outcome
 * @param report load report of the endpoint, {@link LoadReport#NONE} without one
 */
public record AttemptResult(
        long partId, int attempt, String endpointId, AttemptOutcome outcome, double elapsedS, LoadReport report) {}
