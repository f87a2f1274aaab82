package pepperdock.distribution;

/**
 * A control machine as a subscriber knows it.
 *
 * @param name the name of the machine
 * @param region the region in which it runs
 */
public record ControlMachine(String name, String region) {}
