package pepperdock.transport;

import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;

/** Handles the requests of an {@link HttpServer}; called on the I/O thread. */
public interface HttpRequestHandler {

    /**
     * Handles a request, now or later.
     *
     * @return what is run if the client disconnects before the response
     * @throws HttpException if the request is answered with an error status at once
     */
    Runnable serve(HttpMessage request, HttpResponseSender reply) throws HttpException;

    /** Words the response to a malformed request, at once. */
    void rejectMalformed(int status, String why, HttpResponseSender reply);
}
