package pepperdock.core;

import pepperdock.aggregator.Aggregator;

/** One entry of the node list; {@code bornAt} is on the {@link Clock}'s time, 0 for long ago. */
public record Host(
        String id,
        String dial,
        int zone,
        int kind,
        int cell,
        Aggregator.Readiness readiness,
        double weight,
        double bornAt) {}
