package pepperdock.store.raft;

/**
 * What consensus goes by: counts of ticks, entries and bytes.
 *
 * @param electionTicks after so many ticks without a sign of a leader, up to twice as many by chance, another is elected; as
 *     many without signs of a majority, and a leader gives up
 * @param heartbeatTicks between two signs of life of a leader
 * @param messageBytes of entries or of a snapshot in one message, at most, but for a single larger entry
 * @param inFlight messages with entries to one peer that it has not answered
 * @param uncommittedBytes of entries that are not committed, at most; more are turned away
 * @param kept entries kept behind a snapshot, for peers that are a little late
 */
public record RaftSettings(
        int electionTicks, int heartbeatTicks, int messageBytes, int inFlight, int uncommittedBytes, int kept) {

    public static RaftSettings defaults() {
        return new RaftSettings(10, 2, 64 << 10, 32, 4 << 20, 1000);
    }
}
