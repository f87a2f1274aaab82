package pepperdock.core;

import java.util.List;

/** The workers' side. Each attempt handed over ends in one {@link Gatherer#ended}, unless cancelled first. */
public interface Backend {

    /** Sends attempts at one worker as one call, within the batch size of the settings. */
    void send(String worker, List<Attempt> call);

    /** Ceases to wait for an attempt; nothing more is to be told of it. */
    void cancel(Attempt attempt);

    /** A value came that no answer will use: whatever it holds at the worker may be let go. */
    default void unused(Attempt attempt, byte[] value) {}

    /** Asks a worker for a sign of life, told by {@link Gatherer#probed}. */
    void probe(String worker);

    /** Closes the idle connections to a worker. */
    void dropConnections(String worker);

    /** The list has changed: these are all workers now known, by id. */
    void listed(java.util.Map<String, Host> hosts);
}
