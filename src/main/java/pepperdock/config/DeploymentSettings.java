package pepperdock.config;

import java.util.List;
import pepperdock.scheduler.ProtocolRules;
import pepperdock.scheduler.QueryClass;
import pepperdock.scheduler.RetrySafety;
import pepperdock.scheduler.SchedulerSettings;

/**
 * The settings of a deployment: those of the scheduler and those of the connections to workers. Immutable.
 * {@link DeploymentSettingsReader} reads them.
 *
 * @param scheduler the settings of the scheduler
 * @param classes the names of the query classes, by index
 * @param zones the names of the zones, by index
 * @param kinds the names of the kinds of workers, by index
 * @param connectTimeoutS the connect timeout, in seconds
 * @param idleTimeoutS how long a connection is idle before its worker closes it, in seconds
 * @param partsPerConnection how many parts one connection carries at a time
 * @param defaultsUsed the absent keys, each with the default used for it, as KEY=VALUE
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
     * Returns these settings with every class that relies on idempotency keys changed to not idempotent: workers that
     * don't drop a repeat by its key must not be sent a part again that may have been executed.
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
     * Returns these settings with the query classes, limits and rules of other settings, which can change while the
     * program runs. The layout, the instances, the way the endpoint list is obtained and the limits of connections
     * stay.
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
