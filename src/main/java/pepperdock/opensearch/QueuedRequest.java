package pepperdock.opensearch;

import java.util.function.BooleanSupplier;
import pepperdock.transport.HttpClient;

/**
 * A request that waits for a connection to its worker.
 *
 * @param id the id in the request, which the worker may repeat in its response
 * @param request the encoded HTTP request
 * @param deadline the clock's time after which its response is no longer awaited
 * @param onlyWhileAccepting whether it is abandoned once the worker accepts no calls
 * @param stillWanted asked right before it is sent, as it may have become unwanted while it waited
 * @param listener receives the response, or a null failure if the request was never sent
 */
record QueuedRequest(
        String id,
        byte[] request,
        double deadline,
        boolean onlyWhileAccepting,
        BooleanSupplier stillWanted,
        HttpClient.ResponseListener listener) {}
