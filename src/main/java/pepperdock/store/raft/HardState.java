package pepperdock.store.raft;

/**
 * What must be on disk before any message may speak of it (thesis, 3.8).
 *
 * @param term the current term
 * @param votedFor the candidate that got this server's vote in it; 0 for none
 */
public record HardState(long term, long votedFor) {}
