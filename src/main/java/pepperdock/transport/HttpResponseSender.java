package pepperdock.transport;

/** Sends the one response to a request; a second one is ignored. */
public interface HttpResponseSender {

    /** Sends the response; {@code extraHeaders} holds further header lines, each with its line end, or is empty. */
    void send(int status, String contentType, String extraHeaders, byte[] body);

    /**
     * Returns for how many seconds the request may have waited, in the kernel or behind another one on its connection,
     * before it was handled. Time limits that its client gives count from when it was sent.
     */
    default double waitedS() {
        return 0;
    }

    /**
     * Reads what the client has sent by now. If the client has disconnected, the task that the request's handler
     * returned has run when this method returns.
     */
    default void pollForDisconnect() {}
}
