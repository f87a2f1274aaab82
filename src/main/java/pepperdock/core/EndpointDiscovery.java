package pepperdock.core;

/** Source of endpoint lists; each call to {@link #watch} results in a call to {@link Gatherer#onEndpointList}. */
public interface EndpointDiscovery {

    /** Starts to watch the list for changes. */
    void watch();
}
