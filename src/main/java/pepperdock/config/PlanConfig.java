package pepperdock.config;

/**
 * The planner in service.
 *
 * @param everyS how often speeds are looked at; a changed list is planned for at once
 * @param leastChange a change of one node's speed by this share makes a new plan
 * @param shareLeast the least share of a range that a holder in service gets, whatever is planned
 */
public record PlanConfig(double everyS, double leastChange, double shareLeast) {

    static PlanConfig read(Keys keys) {
        keys.only("every_s", "least_change", "share_least");
        return new PlanConfig(
                within(keys, "every_s", 0.1, 3600, 5),
                within(keys, "least_change", 0.01, 1, 0.15),
                within(keys, "share_least", 0.01, 0.5, 0.1));
    }

    private static double within(Keys keys, String name, double least, double most, double otherwise) {
        double value = keys.number(name, otherwise);
        if (!(value >= least && value <= most)) {
            throw new ConfigException(keys.key(name), "not from " + least + " to " + most);
        }
        return value;
    }
}
