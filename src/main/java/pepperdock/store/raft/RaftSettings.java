package pepperdock.store.raft;

/**
 * The limits and timeouts of consensus, in ticks, entries and bytes.
 *
 * @param electionTicks the minimum election timeout (thesis, 3.4): the timeout is drawn from here to twice as many ticks; a
 *     leader that hears from no majority for so long steps down (6.2)
 * @param heartbeatTicks between two heartbeats of a leader
 * @param maxMessageBytes of entries or of a snapshot in one message, at most, but for a single larger entry
 * @param maxInFlight messages with entries to one peer that it has not answered (10.2.2)
 * @param maxUncommittedBytes of uncommitted entries, at most; more are rejected
 * @param retainedEntries entries retained behind a snapshot, for followers that are a little behind (5.1)
 */
public record RaftSettings(
        int electionTicks,
        int heartbeatTicks,
        int maxMessageBytes,
        int maxInFlight,
        int maxUncommittedBytes,
        int retainedEntries) {

    /** For a tick of 100 ms or so, and small entries. */
    public static RaftSettings defaults() {
        return new RaftSettings(10, 2, 64 << 10, 32, 4 << 20, 1000);
    }
}
