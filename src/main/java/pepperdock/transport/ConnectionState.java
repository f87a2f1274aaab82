package pepperdock.transport;

/** State of a client's connection to an {@link HttpServer}, which enforces the time limits of the states. */
enum ConnectionState {
    /** Nothing has been received yet. */
    NEW,
    /** Part of a request has been received. */
    READING,
    /** A request is being served. */
    SERVING,
    /** The connection is kept open between requests. */
    IDLE,
    /** The connection is closing after its last response. */
    CLOSING
}
