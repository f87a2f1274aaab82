package pepperdock.core;

import java.util.List;

/** The workers' side. Each attempt handed over ends in one {@link Gatherer#onAttemptEnded}, unless cancelled first. */
public interface Backend {

    /** Sends attempts at one worker as one call, within the batch size of the settings. */
    void sendCall(String worker, List<Attempt> call);

    /** Ceases to wait for an attempt; nothing more is to be told of it. */
    void cancel(Attempt attempt);

    /** A value came that no answer will use: whatever it holds at the worker may be let go. */
    default void releaseUnusedAnswer(Attempt attempt, byte[] value) {}

    /** Asks a worker for a sign of life, told by {@link Gatherer#onHealthCheckEnded}. */
    void checkHealth(String worker);

    /** Closes the idle connections to a worker. */
    void closeIdleConnections(String worker);

    /** The list has changed: these are all workers now known, by id. */
    void updateEndpoints(java.util.Map<String, WorkerEndpoint> hosts);
}
