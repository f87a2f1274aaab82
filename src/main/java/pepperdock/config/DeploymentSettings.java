package pepperdock.config;

import java.util.List;
import pepperdock.scheduler.ProtocolRules;
import pepperdock.scheduler.QueryClass;
import pepperdock.scheduler.RetrySafety;
import pepperdock.scheduler.SchedulerSettings;

/**
 * A deployment's settings: the scheduler's, and those of the connections to workers. Immutable. They are read by
 * {@link DeploymentSettingsReader}.
 *
 * @param scheduler the scheduler's settings
 * @param classes names of the query classes, in their order
 * @param zones names of the zones, in their order
 * @param kinds names of the kinds of workers, in their order
 * @param connectTimeoutS connect timeout, in seconds
 * @param idleTimeoutS when a worker closes an idle connection, in seconds
 * @param partsPerConnection how many parts one connection carries at a time
 * @param defaultsUsed each key that is absent, with the default that is used, as KEY=VALUE
 */
public record DeploymentSettings(
        SchedulerSettings scheduler,
        List<String> classes,
        List<String> zones,
        List<String> kinds,
        double connectTimeoutS,
        double idleTimeoutS,
        int partsPerConnection,
        List<String> defaultsUsed) {

    /**
     * The same settings without idempotency keys: where workers don't drop a repeat by its key, a part that may have been
     * executed must not be sent again.
     */
    public DeploymentSettings withoutIdempotencyKeys() {
        SchedulerSettings current = scheduler;
        List<QueryClass> strict = current.classes().stream()
                .map(queryClass -> queryClass.retrySafety() != RetrySafety.IDEMPOTENCY_KEY
                        ? queryClass
                        : new QueryClass(
                                queryClass.latencyObjectiveS(),
                                queryClass.deadlineS(),
                                queryClass.priorityWeight(),
                                queryClass.lateAnswerWeight(),
                                RetrySafety.NOT_IDEMPOTENT,
                                queryClass.idempotencyWindowS(),
                                queryClass.minimumCoverage(),
                                queryClass.completeCoverage(),
                                queryClass.partialAnswerWeight(),
                                queryClass.secondStageParts()))
                .toList();
        return new DeploymentSettings(
                new SchedulerSettings(
                        current.instances(),
                        current.zone(),
                        current.tickS(),
                        current.pollsEndpointList(),
                        strict,
                        current.tenantRates(),
                        current.overQuotaWeight(),
                        current.reportNames(),
                        current.layout(),
                        current.limits(),
                        current.rules()),
                classes,
                zones,
                kinds,
                connectTimeoutS,
                idleTimeoutS,
                partsPerConnection,
                defaultsUsed);
    }

    /**
     * These settings with what another file says of query classes, limits and rules, which can change while the program runs;
     * layout, instances, how the endpoint list comes and the connections' limits stay.
     */
    public DeploymentSettings withReloadable(DeploymentSettings changedSettings) {
        SchedulerSettings current = scheduler;
        SchedulerSettings changed = changedSettings.scheduler;
        ProtocolRules rules = changed.rules();
        return new DeploymentSettings(
                new SchedulerSettings(
                        current.instances(),
                        current.zone(),
                        current.tickS(),
                        current.pollsEndpointList(),
                        changed.classes(),
                        current.tenantRates(),
                        current.overQuotaWeight(),
                        current.reportNames(),
                        current.layout(),
                        changed.limits(),
                        new ProtocolRules(
                                rules.answerSlackS(),
                                rules.drainGraceS(),
                                rules.warmUpInitialShare(),
                                rules.warmUpS(),
                                rules.warmUpOverloadMultiple(),
                                rules.warmUpOverloadWindowS(),
                                rules.retryBudgetFree(),
                                rules.retryBudgetShare(),
                                rules.retryBudgetWindowS(),
                                current.rules().listPollIntervalS())),
                changedSettings.classes,
                zones,
                kinds,
                connectTimeoutS,
                idleTimeoutS,
                partsPerConnection,
                defaultsUsed);
    }
}
