package pepperdock.opensearch;

import java.util.function.BooleanSupplier;
import pepperdock.transport.HttpClient;

/**
 * A request that waits for a connection to its worker.
 *
 * @param request the encoded HTTP request
 * @param deadline when its response is awaited no more, on the clock's time
 * @param onlyWhileAccepting whether it is abandoned once the worker accepts no calls
 * @param stillWanted asked right before it is sent, as it may have waited
 * @param listener takes the response; its failure is null where the request was never sent
 */
record QueuedRequest(
        byte[] request,
        double deadline,
        boolean onlyWhileAccepting,
        BooleanSupplier stillWanted,
        HttpClient.ResponseListener listener) {}
