package pepperdock.scheduler;

/** What a list event carries. */
public enum EndpointListKind {
    /** Entries that have changed; all others stay. */
    CHANGES,
    /** The complete list. */
    COMPLETE,
    /** The complete list as last cached, without a call. */
    CACHED,
    /** A call has failed, or a watch has ended. */
    FAILED
}
