package pepperdock.core;

import java.util.Collection;

/**
 * What a source of endpoint lists does for the other process of an upgrade, if its lists have versions to compare. Used
 * on the gatherer's thread.
 */
public interface EndpointListSharing {

    /** Returns the complete list in use, whose endpoints are given. */
    EndpointListSnapshot snapshot(Collection<WorkerEndpoint> endpoints);

    /**
     * Adopts a list that another process of this gatherer has received, if it is newer than the list in use.
     *
     * @param otherProcessAlive whether that process is alive, so that its list is not one left behind long ago
     */
    void adopt(EndpointListSnapshot list, boolean otherProcessAlive);

    /** Retries failed requests for the first list after short pauses, for at most {@code seconds}. */
    void retryPromptly(double seconds);
}
