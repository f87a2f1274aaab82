package pepperdock.scheduler;

/**
 * One entry of an endpoint list.
 *
 * @param id id of this incarnation of the endpoint; an endpoint that is removed comes back under another id
 * @param zone zone that the endpoint runs in
 * @param kind index of its hardware kind
 * @param cell cell of the {@link ReplicaLayout}, taken modulo the number of cells
 * @param state whether it takes new attempts
 * @param weight capacity relative to other endpoints
 * @param startedAtS when it last started, in seconds on the batch clock; 0 if that was long ago
 */
public record Endpoint(
        String id, int zone, int kind, int cell, EndpointState state, double weight, double startedAtS) {}
