package pepperdock.scheduler;

/** What an endpoint list event contains. */
public enum EndpointListKind {
    /** The entries that have changed; all others stay. */
    CHANGES,
    /** The complete list. */
    COMPLETE,
    /** The complete list as last cached, without a call. */
    CACHED,
    /** Nothing, because a call has failed or a watch has ended. */
    FAILED
}
