package pepperdock.scheduler;

/** What this instance has seen of the path to a zone: the attempts at all endpoints of the zone together. Plain data. */
final class ZoneRecord {

    /** Moving average of failures, 0 to 1. */
    double failureRate;

    /** Since when the path is degraded, in seconds on the batch clock. */
    double degradedSinceS = Double.NEGATIVE_INFINITY;

    /** Earliest time of the next trial in a degraded zone, in seconds on the batch clock. */
    double nextTrialAtS = Double.NEGATIVE_INFINITY;
}
