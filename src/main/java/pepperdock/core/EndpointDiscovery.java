package pepperdock.core;

/** Where node lists come from; each call to {@link #watch} is answered by {@link Gatherer#onEndpointList}. */
public interface EndpointDiscovery {

    /** Asks for the list's changes from now on. */
    void watch();
}
