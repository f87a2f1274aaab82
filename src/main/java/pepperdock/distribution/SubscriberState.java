package pepperdock.distribution;

import java.util.Optional;

/**
 * The state of a connected subscriber, as its publisher knows it.
 *
 * @param highestFormat the highest format that it reads
 * @param inForce the version that it last reported in force
 * @param sinceMillis when this publisher first received that report
 * @param lagging whether it has neither put in force nor refused the version that was offered to it
 * @param ahead whether it has a newer version in force than this control machine holds
 * @param refusal its last refusal, if any
 */
public record SubscriberState(
        SubscriberId id,
        int highestFormat,
        ConfigurationVersion inForce,
        long sinceMillis,
        Durability durability,
        boolean lagging,
        boolean ahead,
        Optional<Refusal> refusal) {}
