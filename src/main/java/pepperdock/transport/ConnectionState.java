package pepperdock.transport;

/** State of a client's connection to an {@link HttpServer}; each has its time limit there. */
enum ConnectionState {
    /** Nothing has come yet. */
    NEW,
    /** Part of a request has come. */
    READING,
    /** A request is being served. */
    SERVING,
    /** Kept open between requests. */
    IDLE,
    /** Closing after its last response. */
    CLOSING
}
