package pepperdock.distribution;

/**
 * The budgets and intervals of a publisher. Immutable.
 *
 * @param heartbeatMillis the interval between two heartbeats to one subscriber
 * @param silenceMillis the time without a message after which a subscriber's connection is closed
 * @param answerMillis the time after which a subscriber that has not put a sent version in force is reported as lagging
 * @param subscriberBytesPerSecond the rate limit of all messages to one subscriber
 * @param subscriberBurstBytes the burst to one subscriber; in any second it is sent at most this and the rate together
 * @param snapshotBytesPerSecond the rate limit of snapshots to all subscribers together
 * @param snapshotBurstBytes the burst of snapshots to all subscribers together
 * @param snapshotsAtOnce the largest number of subscribers to which snapshots are sent at the same time
 * @param chunkBytes the bytes of a snapshot in one message
 * @param deltaPercent the largest size of a delta, in percent of the snapshot's bytes; otherwise the snapshot is sent
 * @param keptVersions the largest number of versions of which deltas are kept
 * @param keptBytes the limit for the bytes of all deltas that are kept
 */
public record PublisherSettings(
        int heartbeatMillis,
        int silenceMillis,
        int answerMillis,
        int subscriberBytesPerSecond,
        int subscriberBurstBytes,
        int snapshotBytesPerSecond,
        int snapshotBurstBytes,
        int snapshotsAtOnce,
        int chunkBytes,
        int deltaPercent,
        int keptVersions,
        int keptBytes) {

    /**
     * Returns settings for 500 subscribers on four control machines, with at most 15 KB in any second per subscriber.
     */
    public static PublisherSettings defaults() {
        return new PublisherSettings(
                1000, 15_000, 4000, 10_000, 4000, 2_000_000, 64 << 10, 192, 1024, 50, 1000, 1 << 20);
    }
}
