package pepperdock.core;

/** Source of endpoint lists; each call to {@link #watch} is answered by {@link Gatherer#onEndpointList}. */
public interface EndpointDiscovery {

    /** Watches the list for changes from now on. */
    void watch();
}
