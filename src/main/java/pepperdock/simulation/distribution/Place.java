package pepperdock.simulation.distribution;

/** Where a machine stands. */
public record Place(String name, String region, String zone) {}
