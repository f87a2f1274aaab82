package pepperdock.distribution;

/**
 * How old the version in force is: for how long it is not known to be the newest.
 *
 * @param millis that long
 * @param atLeast it was never known to be since the subscriber's start, so it may be older
 */
public record ConfigurationAge(long millis, boolean atLeast) {}
