package pepperdock.simulation.distribution;

/** The name and location of a machine. */
public record Place(String name, String region, String zone) {}
