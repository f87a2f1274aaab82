package pepperdock.transport;

/** Sends the one response to a request; a second one is ignored. */
public interface HttpResponseSender {

    /** Sends the response; {@code extraHeaders} holds further header lines, each with its line end, or is empty. */
    void send(int status, String contentType, String extraHeaders, byte[] body);

    /**
     * Reads what the client has sent by now. If the client has disconnected, the task that the request's handler
     * returned has run when this method returns.
     */
    default void pollForDisconnect() {}
}
