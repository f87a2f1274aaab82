package pepperdock.transport;

/** Receives the events of a connection. */
public interface ConnectionHandler {
    /**
     * Called when input has arrived: it is in {@link Connection#bytes} from {@link Connection#readStart} to {@link Connection#readEnd}. The
     * handler must {@link Connection#consume} the bytes that it has used.
     */
    void onBytes(Connection connection);

    /** Called when the peer or an error has ended the connection; not called after {@link Connection#close}. */
    void onClosed(Connection connection);

    /**
     * Called once when the connection is closed, by either side. The handler frees what it holds for input: the channel,
     * which refers to it, may be closed much later.
     */
    default void releaseInput() {}

    /** Called when the kernel has taken all bytes given to {@link Connection#write}. */
    default void onFlushed(Connection connection) {}

    /**
     * Returns whether input is read as it arrives. Otherwise reading pauses when there is input, {@link #onReadable}
     * is called, and the handler reads by {@link Connection#readMore} when it has time.
     */
    default boolean readsAtOnce() {
        return true;
    }

    /** Called when there is input for a handler that does not read at once. */
    default void onReadable(Connection connection) {}

    /**
     * Called once when the peer has sent far more than {@link Connection#limitUnconsumedBytes} allows, before further input
     * is discarded.
     */
    default void onInputOverflow(Connection connection) {}
}
