package pepperdock.distribution;

/**
 * The age of the version in force: the time since it was last known to be the newest.
 *
 * @param millis the age in milliseconds
 * @param atLeast whether the version was never known to be the newest since the subscriber started, so that
 *     {@code millis} is only a lower bound
 */
public record ConfigurationAge(long millis, boolean atLeast) {}
