package pepperdock.store.raft;

/**
 * The limits and timeouts of the consensus protocol, in ticks, entries and bytes.
 *
 * @param electionTicks the minimum election timeout (thesis, 3.4). The timeout is drawn between this and twice as many
 *     ticks; a leader that hears from no majority for this long steps down (6.2)
 * @param heartbeatTicks ticks between two heartbeats of a leader
 * @param maxMessageBytes maximum bytes of entries or of a snapshot in one message; a single larger entry is still sent
 * @param maxInFlight maximum number of messages with entries to one peer that are not answered yet (10.2.2)
 * @param maxUncommittedBytes maximum bytes of uncommitted entries; further entries are rejected
 * @param retainedEntries entries retained before a snapshot's index, for followers that are slightly behind (5.1)
 */
public record RaftSettings(
        int electionTicks,
        int heartbeatTicks,
        int maxMessageBytes,
        int maxInFlight,
        int maxUncommittedBytes,
        int retainedEntries) {

    /** Returns settings for ticks of about 100 ms and small entries. */
    public static RaftSettings defaults() {
        return new RaftSettings(10, 2, 64 << 10, 32, 4 << 20, 1000);
    }
}
