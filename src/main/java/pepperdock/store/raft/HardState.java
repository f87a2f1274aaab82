package pepperdock.store.raft;

/**
 * The state that must be on disk before any message that depends on it is sent (thesis, 3.8).
 *
 * @param term the current term
 * @param votedFor the candidate that received this server's vote in the current term; 0 for none
 */
public record HardState(long term, long votedFor) {}
