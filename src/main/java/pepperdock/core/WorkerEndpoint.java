package pepperdock.core;

import pepperdock.scheduler.EndpointState;

/** One entry of the node list; {@code bornAt} is on the {@link Clock}'s time, 0 for long ago. */
public record WorkerEndpoint(
        String id,
        String address,
        int zone,
        int kind,
        int cell,
        EndpointState state,
        double weight,
        double startedAtS) {}
