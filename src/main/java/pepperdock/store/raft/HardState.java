package pepperdock.store.raft;

/** What must be on disk before anybody is told of it: the term, and for whom this disk has voted in it; 0 for nobody. */
public record HardState(long term, long votedFor) {}
