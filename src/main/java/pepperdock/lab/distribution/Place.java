package pepperdock.lab.distribution;

/** Where a machine stands. */
public record Place(String name, String region, String zone) {}
