package pepperdock.distribution;

/**
 * The budgets and intervals of a publisher. Immutable.
 *
 * @param heartbeatMillis between two heartbeats to one subscriber
 * @param silenceMillis after so long without a message a subscriber's connection is closed
 * @param answerMillis a subscriber that has not put in force what was sent by then lags
 * @param subscriberBytesPerSecond to one subscriber, of all kinds of messages
 * @param subscriberBurstBytes to one subscriber at once; no second sees more than this and the rate together
 * @param snapshotBytesPerSecond of snapshots to all subscribers together
 * @param snapshotBurstBytes of snapshots at once
 * @param snapshotsAtOnce to so many subscribers
 * @param pieceBytes of a snapshot in one message
 * @param deltaPercent a delta is sent where it has at most so many hundredths of the snapshot's bytes
 * @param keptVersions deltas are kept of so many versions
 * @param keptBytes deltas are kept of so many bytes
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
        int pieceBytes,
        int deltaPercent,
        int keptVersions,
        int keptBytes) {

    /** For 500 subscribers over four control machines, and 15 KB in any second at a subscriber. */
    public static PublisherSettings defaults() {
        return new PublisherSettings(
                1000, 15_000, 4000, 10_000, 4000, 2_000_000, 64 << 10, 192, 1024, 50, 1000, 1 << 20);
    }
}
