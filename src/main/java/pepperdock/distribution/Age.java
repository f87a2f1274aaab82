package pepperdock.distribution;

/**
 * How old the version in force is: since when it is not known to be the newest.
 *
 * @param atLeast it was never known to be since the subscriber's start, so it may be older
 */
public record Age(long millis, boolean atLeast) {}
