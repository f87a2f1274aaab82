package pepperdock.config;

/**
 * The planner of shares, the file's key {@code plan}. Immutable.
 *
 * @param everyS how often speeds are looked at, in seconds; a changed endpoint list is planned for at once
 * @param leastChange a change of one worker's speed by this share makes a new plan
 * @param shareLeast the least share of a range that a replica in service gets, whatever is planned
 */
public record PlanConfig(double everyS, double leastChange, double shareLeast) {

    private static final String EVERY_S = "every_s";
    private static final double DEFAULT_EVERY_S = 5;
    private static final String LEAST_CHANGE = "least_change";
    private static final double DEFAULT_LEAST_CHANGE = 0.15;
    private static final String SHARE_LEAST = "share_least";
    private static final double DEFAULT_SHARE_LEAST = 0.1;

    static PlanConfig read(ConfigReader keys) {
        keys.only(EVERY_S, LEAST_CHANGE, SHARE_LEAST);
        return new PlanConfig(
                within(keys, EVERY_S, 0.1, 3600, DEFAULT_EVERY_S),
                within(keys, LEAST_CHANGE, 0.01, 1, DEFAULT_LEAST_CHANGE),
                within(keys, SHARE_LEAST, 0.01, 0.5, DEFAULT_SHARE_LEAST));
    }

    private static double within(ConfigReader keys, String name, double least, double most, double defaultValue) {
        double value = keys.number(name, defaultValue);
        if (!(value >= least && value <= most)) {
            throw new ConfigException(keys.key(name), "not from " + least + " to " + most);
        }
        return value;
    }
}
