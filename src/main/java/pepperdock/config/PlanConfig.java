package pepperdock.config;

/**
 * The configuration of the planner of shares, read from the key {@code plan} of the file. Immutable.
 *
 * @param everyS the interval at which the speeds of workers are checked, in seconds; a changed endpoint list is planned
 *     for at once
 * @param leastChange the relative change of one worker's speed that triggers a new plan
 * @param shareLeast the minimum share of a range that each replica in service gets, whatever the plan
 */
public record PlanConfig(double everyS, double leastChange, double shareLeast) {

    private static final String EVERY_S = "every_s";
    private static final double DEFAULT_EVERY_S = 5;
    private static final String LEAST_CHANGE = "least_change";
    private static final double DEFAULT_LEAST_CHANGE = 0.15;
    private static final String SHARE_LEAST = "share_least";
    private static final double DEFAULT_SHARE_LEAST = 0.1;

    static PlanConfig read(ConfigReader keys) {
        keys.rejectUnknownKeys(EVERY_S, LEAST_CHANGE, SHARE_LEAST);
        return new PlanConfig(
                readBounded(keys, EVERY_S, 0.1, 3600, DEFAULT_EVERY_S),
                readBounded(keys, LEAST_CHANGE, 0.01, 1, DEFAULT_LEAST_CHANGE),
                readBounded(keys, SHARE_LEAST, 0.01, 0.5, DEFAULT_SHARE_LEAST));
    }

    private static double readBounded(ConfigReader keys, String name, double min, double max, double defaultValue) {
        double value = keys.number(name, defaultValue);
        if (!(value >= min && value <= max)) {
            throw new ConfigException(keys.key(name), "must be from " + min + " to " + max + ", but is " + value);
        }
        return value;
    }
}
