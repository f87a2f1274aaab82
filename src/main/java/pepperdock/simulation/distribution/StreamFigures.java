package pepperdock.simulation.distribution;

/**
 * The measured cost of streams over loopback. Processor time is that of the event loops' threads, without the garbage
 * collector.
 *
 * @param subscribers number of subscribers, in one process and on one loop
 * @param firstVersionMillis time from their start on empty disks until all had the first version
 * @param pairBytes heap of a subscriber and its session at the control machine together
 * @param subscriberIdlePercent percent of a core used by one subscriber, with heartbeats only
 * @param subscriberChangingPercent the same with a change each second
 * @param controlIdlePercent percent of a core used by the busiest control machine, with heartbeats only
 * @param controlChangingPercent the same with a change each second
 * @param subscriberIdleBytes bytes of frames per second, in both directions, of one subscriber
 * @param subscriberChangingBytes the same with a change each second
 * @param changeMedianMillis median time from handing a change to the publishers until it is in force at all subscribers
 * @param changeWorstMillis the same time of the slowest change
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
