package pepperdock.transport;

/** Takes the one response to a request; a second one is ignored. */
public interface HttpResponseSender {

    /** Sends the response; {@code extra} is further header lines, each with its line end, or empty. */
    void send(int status, String type, String extra, byte[] body);

    /** Reads what the client has sent by now; if it has disconnected, the request's handler has been told on return. */
    default void pollForDisconnect() {}
}
