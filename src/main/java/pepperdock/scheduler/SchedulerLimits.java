package pepperdock.scheduler;

/**
 * Limits set by the operator.
 *
 * @param cancellation whether attempts may be cancelled
 * @param hedging whether attempts at one part may run concurrently
 * @param healthChecks whether health checks may be sent
 * @param maxAttempts maximum number of attempts at one part, at least 1
 * @param maxQueriesAndParts maximum number of queries and parts of queries that one gatherer has in flight; beyond it,
 *     new queries are rejected
 * @param retryAfterS Retry-After of a rejected query, in seconds; 0 where none is given
 */
public record SchedulerLimits(
        boolean cancellation,
        boolean hedging,
        boolean healthChecks,
        int maxAttempts,
        int maxQueriesAndParts,
        double retryAfterS) {}
