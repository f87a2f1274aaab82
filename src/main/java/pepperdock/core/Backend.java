package pepperdock.core;

import java.util.List;
import java.util.Map;

/**
 * Sends attempts to workers. The backend calls {@link Gatherer#onAttemptEnded} once for each attempt handed to it,
 * unless the attempt is cancelled first; {@link Gatherer#retractResult} may follow. Called on the gatherer's thread, which
 * it must not block.
 */
public interface Backend {

    /** Sends attempts to one worker as one call; their number does not exceed the batch size of the settings. */
    void sendCall(String worker, List<Attempt> call);

    /** Stops waiting for an attempt; its outcome must no longer be reported. */
    void cancel(Attempt attempt);

    /** Releases the resources that a value holds at the worker, because it will not be part of any answer. */
    default void releaseUnusedAnswer(Attempt attempt, byte[] value) {}

    /**
     * Reads the input that has arrived behind the results of the open batch, without waiting, and retracts results that
     * it shows to be damaged. Called right before the batch is reported.
     */
    default void pollForRetractions() {}

    /** Checks the health of a worker; {@link Gatherer#onHealthCheckEnded} receives the result. */
    void checkHealth(String worker);

    /** Closes the idle connections to a worker, so that the next call opens a new one. */
    void closeIdleConnections(String worker);

    /** Replaces the known endpoints, by id, after a change of the endpoint list or of the bans. */
    void updateEndpoints(Map<String, WorkerEndpoint> endpoints);
}
