package pepperdock.distribution;

import java.util.Optional;

/**
 * What a publisher knows of one subscriber that is connected to it.
 *
 * @param reads the highest format that it reads
 * @param inForce the version in force there, as it said
 * @param sinceMillis when this publisher first heard so
 * @param lagging it has not put in force what it was offered, and has not refused it
 * @param ahead it has a newer version in force than this control machine holds
 * @param refusal the last version that it refused, if it did
 */
public record SubscriberState(
        SubscriberId id,
        int reads,
        ConfigurationVersion inForce,
        long sinceMillis,
        Durability durability,
        boolean lagging,
        boolean ahead,
        Optional<Refusal> refusal) {}
