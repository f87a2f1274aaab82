package pepperdock.opensearch;

import pepperdock.codec.http.HttpMessage;
import pepperdock.core.Attempt;
import pepperdock.transport.HttpClient;

/** A response listener that remembers its attempt while the request waits for a connection. */
record AttemptListener(Attempt attempt, HttpClient.ResponseListener listener) implements HttpClient.ResponseListener {

    @Override
    public void onResponse(HttpMessage message) {
        listener.onResponse(message);
    }

    @Override
    public void onFailure(HttpClient.Failure failure) {
        listener.onFailure(failure);
    }
}
