package pepperdock.core;

import pepperdock.scheduler.EndpointState;

/**
 * One entry of the endpoint list.
 *
 * @param id id of the worker; a worker may have a new id after each start
 * @param address host and port to connect to
 * @param zone zone in which the worker runs
 * @param kind kind of host on which the worker runs
 * @param cell cell of replicas to which the worker belongs
 * @param state whether the worker may be used
 * @param weight weight of the worker in the list, 1 by default
 * @param startedAtS start time of the worker, in seconds on the {@link Clock}; 0 if it started long ago
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
