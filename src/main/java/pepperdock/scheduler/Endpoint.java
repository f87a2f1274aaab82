package pepperdock.scheduler;

/** One entry of a list; {@code bootAt} is the clock time of the last start, 0 for long ago. */
public record Endpoint(
        String id, int zone, int kind, int cell, EndpointState state, double weight, double startedAtS) {}
