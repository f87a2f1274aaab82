package pepperdock.distribution;

/**
 * The identity and location of a subscriber.
 *
 * @param region the region in which it runs, and whose control machines it prefers
 */
public record SubscriberIdentity(SubscriberId id, String region) {}
