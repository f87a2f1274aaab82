package pepperdock.distribution;

/** A control machine as a subscriber knows it. */
public record ControlMachine(String name, String region) {}
