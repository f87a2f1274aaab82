package pepperdock.scheduler;

/** What the site allows; {@code maxPauseS} is the longest pause a client observes, 0 where none is told. */
public record SchedulerLimits(
        boolean cancellation,
        boolean hedging,
        boolean healthChecks,
        int maxAttempts,
        int maxInFlight,
        double maxRetryAfterS) {}
