package pepperdock.scheduler;

/** State of a listed searcher. */
public enum EndpointState {
    HEALTHY,
    DRAINING,
    REMOVED
}
