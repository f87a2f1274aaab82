package pepperdock.transport;

import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;

/** Handles the requests of an {@link HttpServer}; called on the I/O thread. */
public interface HttpRequestHandler {

    /**
     * Handles a request and sends the response, now or later.
     *
     * @return the task to run if the client disconnects before the response
     * @throws HttpException if the request is to be answered with an error status at once
     */
    Runnable serve(HttpMessage request, HttpResponseSender reply) throws HttpException;

    /** Sends the response to a request that is malformed or rejected, or whose handling failed, at once. */
    void respondWithError(int status, String reason, HttpResponseSender reply);
}
