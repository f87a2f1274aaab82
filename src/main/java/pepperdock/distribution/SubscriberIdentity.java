package pepperdock.distribution;

/**
 * Who a subscriber is and where it runs.
 *
 * @param region whose control machines it prefers
 */
public record SubscriberIdentity(SubscriberId id, String region) {}
