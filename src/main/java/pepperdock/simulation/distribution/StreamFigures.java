package pepperdock.simulation.distribution;

/**
 * What streams over loopback cost, as measured. Processor time is that of the loops' threads, without the collector's.
 *
 * @param subscribers in one process and on one loop
 * @param firstVersionMillis from their start until all had the first version, on empty disks
 * @param pairBytes of heap for a subscriber and its session at the control machine together
 * @param subscriberIdlePercent of a core, of one subscriber, with heartbeats alone
 * @param subscriberChangingPercent the same with a change each second
 * @param controlIdlePercent of a core, of the busiest control machine
 * @param controlChangingPercent the same with a change each second
 * @param subscriberIdleBytes of frames a second, both ways, of one subscriber
 * @param subscriberChangingBytes the same with a change each second
 * @param changeMedianMillis from a change's hand-over to the publishers until it is in force at all
 * @param changeWorstMillis the same, of the slowest change
 */
public record StreamFigures(
        int subscribers,
        long firstVersionMillis,
        long pairBytes,
        double subscriberIdlePercent,
        double subscriberChangingPercent,
        double controlIdlePercent,
        double controlChangingPercent,
        long subscriberIdleBytes,
        long subscriberChangingBytes,
        long changeMedianMillis,
        long changeWorstMillis) {}
