package pepperdock.transport;

/** Sends the one response to a request; a second one is ignored. */
public interface HttpResponseSender {

    /** Sends the response; {@code extra} holds further header lines, each with its line end, or is empty. */
    void send(int status, String type, String extra, byte[] body);

    /**
     * Reads what the client has sent by now; if it has disconnected, the task of the request's handler has run on
     * return.
     */
    default void pollForDisconnect() {}
}
