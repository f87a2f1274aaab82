package pepperdock.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pepperdock.scheduler.ProtocolRules;
import pepperdock.scheduler.QueryClass;
import pepperdock.scheduler.ReplicaLayout;
import pepperdock.scheduler.RetrySafety;
import pepperdock.scheduler.SchedulerLimits;
import pepperdock.scheduler.SchedulerSettings;

/**
 * Reads the settings of a deployment in the platform's format. Only this class knows their keys, defaults and bounds,
 * and which term of the scheduler each key stands for. Keys that end in {@code S} are in seconds. Each default that is
 * used is recorded in {@link DeploymentSettings#defaultsUsed}. An instance serves one call of {@link #read}; a {@link
 * ConfigException} names the faulty key.
 */
public final class DeploymentSettingsReader {

    // ---- Top-level keys ------------------------------------------------------------

    private static final String TICK_S = "TickS";
    private static final String INSTANCES = "Instances";
    private static final String ZONE = "Zone";
    private static final String ZONE_NAMES = "FailureDomains";
    private static final String KIND_NAMES = "Kinds";
    private static final String DISCOVERY = "Discovery";
    private static final String DISCOVERY_POLLED = "subscribe";
    private static final String OVER_QUOTA_WEIGHT = "OverShareWorth";
    private static final String TENANTS = "Tenants";
    private static final String TENANT_RATE_PER_S = "AllowancePerS";
    private static final String REPORT = "Report";
    private static final String REPORT_NAMES = "Names";

    // ---- Keys of one query class ------------------------------------------------------------

    private static final String QUERY_CLASSES = "RequestClasses";
    private static final String CLASS_NAME = "Name";
    private static final String RETRY_SAFETY = "Effect";
    private static final String LATENCY_OBJECTIVE_S = "GoalTimeS";
    private static final String DEADLINE_S = "DeadlineS";
    private static final String IDEMPOTENCY_WINDOW_S = "WindowS";
    private static final String PRIORITY_WEIGHT = "Worth";
    private static final String LATE_ANSWER_WEIGHT = "LateWorth";

    // ---- Keys of shards and coverage ------------------------------------------------------------

    private static final String LAYOUT = "FamilyInfo";
    private static final String SHARDS = "Slices";
    private static final String CELLS = "Cells";
    private static final String REPLICAS_PER_SHARD = "Span";
    private static final String MAX_PARTS_PER_CALL = "Batch";
    private static final String COMPLETE_COVERAGE = "NeedByClass";
    private static final String MINIMUM_COVERAGE = "FloorByClass";
    private static final String PARTIAL_ANSWER_WEIGHT = "ShortWorth";
    private static final String SECOND_STAGE_PARTS = "SecondStep";

    // ---- Keys of the limits ------------------------------------------------------------

    private static final String LIMITS = "Limits";
    private static final String CANCELLATION = "Cancel";
    private static final String HEDGING = "MayDuplicate";
    private static final String HEALTH_CHECKS = "MayProbe";
    private static final String MAX_ATTEMPTS = "MaxAttempts";
    private static final String MAX_IN_FLIGHT = "MostHeld";
    private static final String RETRY_AFTER = "RetryAfter";
    private static final String MAX_RETRY_AFTER_S = "MaxRetryAfterS";
    private static final String CONNECT_TIMEOUT_S = "DialTimeoutS";
    private static final double DEFAULT_CONNECT_TIMEOUT_S = 0.25;
    private static final String IDLE_TIMEOUT_S = "ConnIdleS";
    private static final double DEFAULT_IDLE_TIMEOUT_S = 15;
    private static final String PARTS_PER_CONNECTION = "Multiplex";
    private static final int DEFAULT_PARTS_PER_CONNECTION = 100;

    // ---- Keys of the protocol's rules ------------------------------------------------------------

    private static final String RULES = "Rules";
    private static final String ANSWER_SLACK_S = "AnswerSlackS";
    private static final String DRAIN_GRACE_S = "StopSendingWithinS";
    private static final String WARM_UP_INITIAL_SHARE = "ColdFrom";
    private static final String WARM_UP_S = "WarmUpS";
    private static final String WARM_UP_OVERLOAD_MULTIPLE = "FallMultiple";
    private static final String WARM_UP_OVERLOAD_WINDOW_S = "FallS";
    private static final String RETRY_BUDGET_FREE = "FreeResends";
    private static final String RETRY_BUDGET_SHARE = "ExtraPerRequest";
    private static final String RETRY_BUDGET_WINDOW_S = "BudgetSpanS";
    private static final String LIST_POLL_INTERVAL_S = "AskWithinS";

    private static final Map<String, RetrySafety> RETRY_SAFETIES = Map.of(
            "read_like",
            RetrySafety.IDEMPOTENT,
            "idempotency_key",
            RetrySafety.IDEMPOTENCY_KEY,
            "non_idempotent",
            RetrySafety.NOT_IDEMPOTENT);

    private static final Set<String> RELOADABLE_LIMITS =
            Set.of(CANCELLATION, HEDGING, HEALTH_CHECKS, MAX_ATTEMPTS, MAX_IN_FLIGHT, RETRY_AFTER, MAX_RETRY_AFTER_S);
    private static final Set<String> RELOADABLE_LAYOUT =
            Set.of(COMPLETE_COVERAGE, MINIMUM_COVERAGE, PARTIAL_ANSWER_WEIGHT, SECOND_STAGE_PARTS);

    private static final int MAX_CELLS = 1 << 24;
    private static final int MAX_INSTANCES = 1 << 20;
    private static final int MAX_ATTEMPTS_BOUND = 1 << 16;

    private final ConfigReader settings;
    private final ConfigReader layout;
    private final ConfigReader limits;
    private final ConfigReader rules;

    private DeploymentSettingsReader(ConfigReader settings) {
        this.settings = settings;
        layout = settings.requiredObject(LAYOUT);
        limits = settings.requiredObject(LIMITS);
        rules = settings.requiredObject(RULES);
    }

    /**
     * Reads and checks the settings of a deployment.
     *
     * @throws ConfigException if a key is missing or its value can't be used
     */
    public static DeploymentSettings read(ConfigReader settings) {
        Set<String> defaultsUsed = new LinkedHashSet<>();
        ConfigReader recorded = settings.reportingDefaultsTo(defaultsUsed::add);
        ConfigReader limits = recorded.requiredObject(LIMITS);
        List<String> classNames = readClassNames(recorded);
        return new DeploymentSettings(
                new DeploymentSettingsReader(recorded).readSchedulerSettings(),
                classNames,
                recorded.texts(ZONE_NAMES),
                recorded.texts(KIND_NAMES),
                readPositive(limits, CONNECT_TIMEOUT_S, DEFAULT_CONNECT_TIMEOUT_S),
                readPositive(limits, IDLE_TIMEOUT_S, DEFAULT_IDLE_TIMEOUT_S),
                limits.integer(PARTS_PER_CONNECTION, 1, Integer.MAX_VALUE, DEFAULT_PARTS_PER_CONNECTION),
                List.copyOf(defaultsUsed));
    }

    /**
     * Returns the keys that differ between two settings and take effect only after a restart, as
     * {@link DeploymentSettings#withReloadable} does not apply them.
     */
    public static List<String> keysForRestart(ConfigReader from, ConfigReader to) {
        List<String> keys = new ArrayList<>();
        for (String section : from.differingNames(to)) {
            switch (section) {
                case QUERY_CLASSES, RULES -> {}
                case LIMITS ->
                    addDiffering(keys, from.optionalObject(section), to.optionalObject(section), RELOADABLE_LIMITS);
                case LAYOUT ->
                    addDiffering(keys, from.optionalObject(section), to.optionalObject(section), RELOADABLE_LAYOUT);
                default -> keys.add(from.key(section));
            }
        }
        return keys;
    }

    private static void addDiffering(List<String> keys, ConfigReader from, ConfigReader to, Set<String> reloadable) {
        from.differingNames(to).stream()
                .filter(name -> !reloadable.contains(name))
                .forEach(name -> keys.add(from.key(name)));
    }

    private static List<String> readClassNames(ConfigReader settings) {
        List<String> names = new ArrayList<>();
        for (ConfigReader queryClass : settings.objects(QUERY_CLASSES)) {
            // The simulator identifies classes by number only, clients of a front by name.
            String name = queryClass.text(CLASS_NAME, "class-" + names.size());
            check(
                    queryClass,
                    CLASS_NAME,
                    !names.contains(name) && !name.isEmpty(),
                    "must not be empty or the name of another class");
            names.add(name);
        }
        check(settings, QUERY_CLASSES, !names.isEmpty(), "none");
        return List.copyOf(names);
    }

    private SchedulerSettings readSchedulerSettings() {
        List<QueryClass> classes = new ArrayList<>();
        for (ConfigReader queryClass : settings.objects(QUERY_CLASSES)) {
            classes.add(readQueryClass(queryClass, classes.size()));
        }
        int cells = layout.integer(CELLS, 1, MAX_CELLS);
        check(settings, TICK_S, settings.number(TICK_S) > 0, "must be above 0");
        checkRules();
        List<Double> tenantRates = settings.objects(TENANTS).stream()
                .map(tenant -> tenant.number(TENANT_RATE_PER_S, 0))
                .toList();
        List<String> reportNames = settings.optionalObject(REPORT).texts(REPORT_NAMES);
        boolean pollsEndpointList = settings.text(DISCOVERY, "").equals(DISCOVERY_POLLED);
        try {
            return new SchedulerSettings(
                    settings.integer(INSTANCES, 1, MAX_INSTANCES, 1),
                    settings.integer(ZONE, 0, MAX_INSTANCES, 0),
                    settings.number(TICK_S),
                    pollsEndpointList,
                    classes,
                    tenantRates,
                    settings.number(OVER_QUOTA_WEIGHT, 1),
                    reportNames,
                    readReplicaLayout(cells),
                    readLimits(),
                    readRules(pollsEndpointList));
        } catch (ConfigException e) {
            // Names its key already, unlike an exception of the scheduler, which is handled below.
            throw e;
        } catch (IllegalArgumentException e) {
            throw new ConfigException("settings", String.valueOf(e.getMessage()).replace("settings: ", ""));
        }
    }

    /** Reads one class. Checks it here by the platform's keys, as the checks of the scheduler use other names. */
    private QueryClass readQueryClass(ConfigReader queryClass, int index) {
        RetrySafety retrySafety = RETRY_SAFETIES.get(queryClass.text(RETRY_SAFETY));
        check(
                queryClass,
                RETRY_SAFETY,
                retrySafety != null,
                "must be read_like, idempotency_key or non_idempotent, but is " + queryClass.text(RETRY_SAFETY));
        double objectiveS = queryClass.number(LATENCY_OBJECTIVE_S);
        double deadlineS = queryClass.number(DEADLINE_S);
        check(queryClass, DEADLINE_S, deadlineS > 0, "must be above 0");
        check(
                queryClass,
                LATENCY_OBJECTIVE_S,
                objectiveS > 0 && objectiveS <= deadlineS,
                "must be above 0 and at most DeadlineS");
        // No default: how long workers recognise a repeat by its key decides whether a repeat may be sent.
        double windowS = retrySafety == RetrySafety.IDEMPOTENCY_KEY ? queryClass.number(IDEMPOTENCY_WINDOW_S) : 0;
        check(queryClass, IDEMPOTENCY_WINDOW_S, windowS >= 0, "must be 0 or above");
        double priorityWeight = queryClass.number(PRIORITY_WEIGHT, 1);
        double lateAnswerWeight = queryClass.number(LATE_ANSWER_WEIGHT, 0);
        check(queryClass, PRIORITY_WEIGHT, priorityWeight >= 0, "must be 0 or above");
        check(queryClass, LATE_ANSWER_WEIGHT, lateAnswerWeight >= 0, "must be 0 or above");
        double completeCoverage = layout.numberAt(COMPLETE_COVERAGE, index, 1);
        double minimumCoverage = layout.numberAt(MINIMUM_COVERAGE, index, 1);
        double partialAnswerWeight = layout.numberAt(PARTIAL_ANSWER_WEIGHT, index, 1);
        double secondStageParts = layout.numberAt(SECOND_STAGE_PARTS, index, 0);
        checkCoverage(index, completeCoverage, minimumCoverage, partialAnswerWeight, secondStageParts);
        return new QueryClass(
                objectiveS,
                deadlineS,
                priorityWeight,
                lateAnswerWeight,
                retrySafety,
                windowS,
                minimumCoverage,
                completeCoverage,
                partialAnswerWeight,
                (int) secondStageParts);
    }

    private void checkCoverage(int index, double complete, double minimum, double partialWeight, double secondParts) {
        String at = "[" + index + ']';
        check(layout, COMPLETE_COVERAGE + at, complete > 0 && complete <= 1, "must be above 0 and at most 1");
        check(
                layout,
                MINIMUM_COVERAGE + at,
                minimum > 0 && minimum <= complete,
                "must be above 0 and at most NeedByClass");
        check(layout, PARTIAL_ANSWER_WEIGHT + at, partialWeight >= 0, "must be 0 or above");
        check(
                layout,
                SECOND_STAGE_PARTS + at,
                secondParts >= 0 && secondParts == Math.rint(secondParts),
                "must be a whole number, 0 or above");
    }

    private void checkRules() {
        double initialShare = rules.number(WARM_UP_INITIAL_SHARE, 1);
        check(rules, WARM_UP_INITIAL_SHARE, initialShare > 0 && initialShare <= 1, "must be above 0 and at most 1");
        check(rules, WARM_UP_OVERLOAD_MULTIPLE, rules.number(WARM_UP_OVERLOAD_MULTIPLE, 1) > 0, "must be above 0");
        for (String key : List.of(
                ANSWER_SLACK_S,
                DRAIN_GRACE_S,
                WARM_UP_S,
                WARM_UP_OVERLOAD_WINDOW_S,
                RETRY_BUDGET_FREE,
                RETRY_BUDGET_SHARE,
                RETRY_BUDGET_WINDOW_S,
                LIST_POLL_INTERVAL_S)) {
            check(rules, key, rules.number(key, 0) >= 0, "must be 0 or above");
        }
    }

    private ReplicaLayout readReplicaLayout(int cells) {
        return new ReplicaLayout(
                layout.integer(SHARDS, 1, MAX_CELLS),
                cells,
                layout.integer(REPLICAS_PER_SHARD, 1, cells),
                layout.integer(MAX_PARTS_PER_CALL, 1, 1 << 16, 1));
    }

    private SchedulerLimits readLimits() {
        return new SchedulerLimits(
                limits.flag(CANCELLATION, false),
                limits.flag(HEDGING, false),
                limits.flag(HEALTH_CHECKS, false),
                limits.integer(MAX_ATTEMPTS, 1, MAX_ATTEMPTS_BOUND),
                limits.integer(MAX_IN_FLIGHT, 1, Integer.MAX_VALUE, Integer.MAX_VALUE),
                limits.flag(RETRY_AFTER, false) ? limits.number(MAX_RETRY_AFTER_S, 0) : 0);
    }

    private ProtocolRules readRules(boolean pollsEndpointList) {
        return new ProtocolRules(
                rules.number(ANSWER_SLACK_S, 0),
                rules.number(DRAIN_GRACE_S, 0),
                rules.number(WARM_UP_INITIAL_SHARE, 1),
                rules.number(WARM_UP_S, 0),
                rules.number(WARM_UP_OVERLOAD_MULTIPLE, 1),
                rules.number(WARM_UP_OVERLOAD_WINDOW_S, 0),
                rules.number(RETRY_BUDGET_FREE, 0),
                rules.number(RETRY_BUDGET_SHARE, 0),
                rules.number(RETRY_BUDGET_WINDOW_S, 0),
                pollsEndpointList ? rules.number(LIST_POLL_INTERVAL_S, 0) : 0);
    }

    private static double readPositive(ConfigReader keys, String name, double defaultValue) {
        double value = keys.number(name, defaultValue);
        check(keys, name, value > 0, "must be above 0");
        return value;
    }

    private static void check(ConfigReader keys, String name, boolean valid, String problem) {
        if (!valid) {
            throw new ConfigException(keys.key(name), problem);
        }
    }
}
