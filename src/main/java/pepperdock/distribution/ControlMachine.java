package pepperdock.distribution;

/**
 * A control machine as a subscriber knows it.
 *
 * @param name of the machine
 * @param region where it is
 */
public record ControlMachine(String name, String region) {}
