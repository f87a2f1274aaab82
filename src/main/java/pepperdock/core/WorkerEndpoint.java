package pepperdock.core;

import pepperdock.scheduler.EndpointState;

/**
 * One entry of the endpoint list.
 *
 * @param id id of the worker, which a worker may change at each start
 * @param address host and port to connect to
 * @param zone zone that it runs in
 * @param kind kind of host that it runs on
 * @param cell cell of replicas that it belongs to
 * @param state whether it may be used
 * @param weight weight that the list gives it, 1 by default
 * @param startedAtS when it started, in seconds on the {@link Clock}; 0 for long ago
 */
public record WorkerEndpoint(
        String id,
        String address,
        int zone,
        int kind,
        int cell,
        EndpointState state,
        double weight,
        double startedAtS) {}
