package pepperdock.scheduler;

/** What a list event carries: changes, the complete list, the list as last held, or a failed call. */
public enum EndpointListKind {
    CHANGES,
    COMPLETE,
    CACHED,
    FAILED
}
