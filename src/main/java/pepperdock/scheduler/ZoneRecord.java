package pepperdock.scheduler;

/** Failure statistics of the path to a zone, over the attempts at all endpoints of the zone. Plain data. */
final class ZoneRecord {

    /** Moving average of failures, 0 to 1. */
    double failureRate;

    /** When the path last became degraded, in seconds on the batch clock. */
    double degradedSinceS = Double.NEGATIVE_INFINITY;

    /** Earliest time of the next trial in a degraded zone, in seconds on the batch clock. */
    double nextTrialAtS = Double.NEGATIVE_INFINITY;
}
