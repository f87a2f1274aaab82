package pepperdock.scheduler;

import java.util.List;

/**
 * The settings of one scheduler instance. Immutable.
 *
 * @param instances number of gatherers that share the fleet, at least 1
 * @param zone zone that this instance runs in
 * @param tickS length of a tick in seconds: the resolution of the caller's clock
 * @param pollsEndpointList whether endpoint lists have to be requested; otherwise they are pushed from the start
 * @param classes query classes; {@link QueryArrival#queryClass} is an index into them
 * @param tenantRates quota of each tenant in queries per second, for the whole fleet
 * @param overQuotaWeight share of its value that a query over its tenant's quota keeps; from 1 on quotas have no effect
 * @param reportNames names of the figures of a {@link LoadReport}
 * @param layout which endpoints hold a shard
 * @param limits limits set by the operator
 * @param rules figures of the protocol
 */
public record SchedulerSettings(
        int instances,
        int zone,
        double tickS,
        boolean pollsEndpointList,
        List<QueryClass> classes,
        List<Double> tenantRates,
        double overQuotaWeight,
        List<String> reportNames,
        ReplicaLayout layout,
        SchedulerLimits limits,
        ProtocolRules rules) {

    /** Checks that the settings are in range. The exception names the first one that is not. */
    public SchedulerSettings {
        check(instances >= 1, "instances");
        check(tickS > 0, "tickS");
        check(!classes.isEmpty(), "classes");
        classes.forEach(SchedulerSettings::checkClass);
        check(layout.shards() >= 1 && layout.cells() >= 1 && layout.maxPartsPerCall() >= 1, "layout");
        check(layout.replicasPerShard() >= 1 && layout.replicasPerShard() <= layout.cells(), "span");
        check(limits.maxAttempts() >= 1, "maxAttempts");
        checkRules(rules);
        classes = List.copyOf(classes);
        tenantRates = List.copyOf(tenantRates);
        reportNames = List.copyOf(reportNames);
    }

    /** Returns the same settings with another number of instances. */
    public SchedulerSettings withInstances(int instances) {
        return new SchedulerSettings(
                instances,
                zone,
                tickS,
                pollsEndpointList,
                classes,
                tenantRates,
                overQuotaWeight,
                reportNames,
                layout,
                limits,
                rules);
    }

    private static void checkClass(QueryClass queryClass) {
        double objectiveS = queryClass.latencyObjectiveS();
        check(objectiveS > 0 && objectiveS <= queryClass.deadlineS(), "aimS");
        double minimum = queryClass.minimumCoverage();
        double complete = queryClass.completeCoverage();
        check(
                minimum > 0 && minimum <= complete && complete <= 1,
                "minimum or complete coverage (expected 0 < floor <= need <= 1)");
        check(queryClass.secondStageParts() >= 0, "secondStep");
        check(
                queryClass.priorityWeight() >= 0
                        && queryClass.lateAnswerWeight() >= 0
                        && queryClass.partialAnswerWeight() >= 0,
                "worth");
    }

    private static void checkRules(ProtocolRules rules) {
        check(rules.warmUpInitialShare() > 0 && rules.warmUpInitialShare() <= 1, "coldFrom");
        check(
                rules.warmUpS() >= 0 && rules.warmUpOverloadWindowS() >= 0 && rules.warmUpOverloadMultiple() > 0,
                "warm-up figures (expected time and overload window >= 0, overload multiple > 0)");
        check(
                rules.retryBudgetWindowS() >= 0 && rules.retryBudgetFree() >= 0 && rules.retryBudgetShare() >= 0,
                "retry budget figures (expected >= 0)");
        check(
                rules.drainGraceS() >= 0 && rules.answerSlackS() >= 0 && rules.listPollIntervalS() >= 0,
                "drain grace, answer slack or list poll interval (expected >= 0)");
    }

    private static void check(boolean inRange, String name) {
        if (!inRange) {
            throw new IllegalArgumentException("settings: " + name + " out of range");
        }
    }
}
