package pepperdock.core;

import java.util.List;
import java.util.Map;

/**
 * Sends attempts to workers. Each attempt handed over ends in one {@link Gatherer#onAttemptEnded}, unless it is cancelled first.
 * Called on the gatherer's thread, which it must not block.
 */
public interface Backend {

    /** Sends attempts at one worker as one call; there are no more of them than the batch size of the settings. */
    void sendCall(String worker, List<Attempt> call);

    /** Stops waiting for an attempt, whose outcome is no longer to be reported. */
    void cancel(Attempt attempt);

    /** A value will not be part of any answer: whatever it holds at the worker may be released. */
    default void releaseUnusedAnswer(Attempt attempt, byte[] value) {}

    /** Checks the health of a worker; {@link Gatherer#onHealthCheckEnded} has the result. */
    void checkHealth(String worker);

    /** Closes the idle connections to a worker, so that the next call opens a new one. */
    void closeIdleConnections(String worker);

    /** The endpoint list or the bans have changed: these are all endpoints now known, by id. */
    void updateEndpoints(Map<String, WorkerEndpoint> endpoints);
}
