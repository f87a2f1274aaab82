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
 * A site's settings: those of the module, and those that the sockets go by. The names are of the list in their order;
 * {@code idleS} is when a worker's machine closes an idle connection, {@code multiplex} how many parts one carries,
 * {@code assumed} names each key that is absent and what was taken in its place, for the log.
 */
public record Site(
        SchedulerSettings module,
        List<String> classes,
        List<String> zones,
        List<String> kinds,
        double dialS,
        double idleS,
        int multiplex,
        List<String> assumed) {

    private static final Map<String, RetrySafety> EFFECTS = Map.of(
            "read_like",
            RetrySafety.IDEMPOTENT,
            "idempotency_key",
            RetrySafety.IDEMPOTENCY_KEY,
            "non_idempotent",
            RetrySafety.NOT_IDEMPOTENT);

    /** Reads and checks the settings, under the names that the platform gives them. */
    public static Site read(Keys settings) {
        Set<String> assumed = new LinkedHashSet<>();
        Keys env = settings.assuming(assumed::add);
        Keys limits = env.needed("Limits");
        List<String> classes = new ArrayList<>();
        for (Keys c : env.objects("RequestClasses")) {
            // The simulator speaks of classes by their number alone; a front's clients by name.
            String name = c.text("Name", "class-" + classes.size());
            check(c, "Name", !classes.contains(name) && !name.isEmpty(), "empty, or of another class");
            classes.add(name);
        }
        check(env, "RequestClasses", !classes.isEmpty(), "none");
        return new Site(
                module(env),
                List.copyOf(classes),
                env.texts("FailureDomains"),
                env.texts("Kinds"),
                positive(limits, "DialTimeoutS", 0.25),
                positive(limits, "ConnIdleS", 15),
                limits.whole("Multiplex", 1, Integer.MAX_VALUE, 100),
                List.copyOf(assumed));
    }

    /**
     * The same site with keyed classes taken for unsafe: where workers don't drop a repeat by its key, a part that may
     * have run must not be sent again.
     */
    public Site withoutRepeats() {
        SchedulerSettings m = module;
        List<QueryClass> strict = m.classes().stream()
                .map(c -> c.retrySafety() != RetrySafety.IDEMPOTENCY_KEY
                        ? c
                        : new QueryClass(
                                c.latencyObjectiveS(),
                                c.deadlineS(),
                                c.priorityWeight(),
                                c.lateAnswerWeight(),
                                RetrySafety.NOT_IDEMPOTENT,
                                c.idempotencyWindowS(),
                                c.minimumCoverage(),
                                c.completeCoverage(),
                                c.partialAnswerWeight(),
                                c.secondStageParts()))
                .toList();
        return new Site(
                new SchedulerSettings(
                        m.instances(),
                        m.zone(),
                        m.tickS(),
                        m.pollsEndpointList(),
                        strict,
                        m.tenantRates(),
                        m.overQuotaWeight(),
                        m.reportNames(),
                        m.layout(),
                        m.limits(),
                        m.rules()),
                classes,
                zones,
                kinds,
                dialS,
                idleS,
                multiplex,
                assumed);
    }

    /**
     * The same site with what another file says of classes, limits of a query and rules, which can change while the program
     * runs; layout, instances, the lists' way and the sockets' figures stay.
     */
    public Site changed(Site to) {
        SchedulerSettings m = module;
        SchedulerSettings now = to.module;
        ProtocolRules r = now.rules();
        return new Site(
                new SchedulerSettings(
                        m.instances(),
                        m.zone(),
                        m.tickS(),
                        m.pollsEndpointList(),
                        now.classes(),
                        m.tenantRates(),
                        m.overQuotaWeight(),
                        m.reportNames(),
                        m.layout(),
                        now.limits(),
                        new ProtocolRules(
                                r.answerSlackS(),
                                r.drainGraceS(),
                                r.warmUpInitialShare(),
                                r.warmUpS(),
                                r.warmUpOverloadMultiple(),
                                r.warmUpOverloadWindowS(),
                                r.retryBudgetFree(),
                                r.retryBudgetShare(),
                                r.retryBudgetWindowS(),
                                m.rules().listPollIntervalS())),
                to.classes,
                zones,
                kinds,
                dialS,
                idleS,
                multiplex,
                assumed);
    }

    /** Of two files' settings, the keys that differ and that {@link #changed} leaves for a restart. */
    public static List<String> laterKeys(Keys from, Keys to) {
        List<String> later = new ArrayList<>();
        for (String key : from.differing(to)) {
            Set<String> live = switch (key) {
                case "RequestClasses", "Rules" -> null;
                case "Limits" ->
                    Set.of(
                            "Cancel",
                            "MayDuplicate",
                            "MayProbe",
                            "MaxAttempts",
                            "MostHeld",
                            "RetryAfter",
                            "MaxRetryAfterS");
                case "FamilyInfo" -> Set.of("NeedByClass", "FloorByClass", "ShortWorth", "SecondStep");
                default -> Set.of();
            };
            if (live != null && live.isEmpty()) {
                later.add(from.key(key));
            } else if (live != null) {
                from.within(key).differing(to.within(key)).stream()
                        .filter(k -> !live.contains(k))
                        .forEach(k -> later.add(from.within(key).key(k)));
            }
        }
        return later;
    }

    private static double positive(Keys keys, String name, double otherwise) {
        double value = keys.number(name, otherwise);
        check(keys, name, value > 0, "not above 0");
        return value;
    }

    private static void check(Keys keys, String name, boolean ok, String otherwise) {
        if (!ok) {
            throw new ConfigException(keys.key(name), otherwise);
        }
    }

    /** One class; checked here by the platform's names, as the module's own checks know other ones. */
    private static QueryClass queryClass(Keys c, Keys family, int i) {
        RetrySafety effect = EFFECTS.get(c.text("Effect"));
        check(c, "Effect", effect != null, "unknown effect " + c.text("Effect"));
        double aimS = c.number("GoalTimeS");
        double deadlineS = c.number("DeadlineS");
        check(c, "DeadlineS", deadlineS > 0, "not above 0");
        check(c, "GoalTimeS", aimS > 0 && aimS <= deadlineS, "not above 0, or past DeadlineS");
        // Where repeats are recognised by a key, for how long is what decides whether one may be sent: nothing stands
        // in.
        double windowS = effect == RetrySafety.IDEMPOTENCY_KEY ? c.number("WindowS") : 0;
        check(c, "WindowS", windowS >= 0, "below 0");
        double worth = c.number("Worth", 1);
        double lateWorth = c.number("LateWorth", 0);
        check(c, "Worth", worth >= 0, "below 0");
        check(c, "LateWorth", lateWorth >= 0, "below 0");
        double need = family.numberAt("NeedByClass", i, 1);
        double floor = family.numberAt("FloorByClass", i, 1);
        double partialWorth = family.numberAt("ShortWorth", i, 1);
        double secondStep = family.numberAt("SecondStep", i, 0);
        check(family, "NeedByClass[" + i + ']', need > 0 && need <= 1, "not above 0 and up to 1");
        check(family, "FloorByClass[" + i + ']', floor > 0 && floor <= need, "not above 0 and up to what is needed");
        check(family, "ShortWorth[" + i + ']', partialWorth >= 0, "below 0");
        check(
                family,
                "SecondStep[" + i + ']',
                secondStep >= 0 && secondStep == Math.rint(secondStep),
                "not a whole number from 0");
        return new QueryClass(
                aimS, deadlineS, worth, lateWorth, effect, windowS, floor, need, partialWorth, (int) secondStep);
    }

    private static SchedulerSettings module(Keys env) {
        Keys family = env.needed("FamilyInfo");
        Keys limits = env.needed("Limits");
        Keys rules = env.needed("Rules");
        List<QueryClass> classes = new ArrayList<>();
        for (Keys c : env.objects("RequestClasses")) {
            classes.add(queryClass(c, family, classes.size()));
        }
        int cells = family.whole("Cells", 1, 1 << 24);
        check(env, "TickS", env.number("TickS") > 0, "not above 0");
        check(
                rules,
                "ColdFrom",
                rules.number("ColdFrom", 1) > 0 && rules.number("ColdFrom", 1) <= 1,
                "not above 0 and up to 1");
        check(rules, "FallMultiple", rules.number("FallMultiple", 1) > 0, "not above 0");
        for (String period : List.of(
                "AnswerSlackS",
                "StopSendingWithinS",
                "WarmUpS",
                "FallS",
                "FreeResends",
                "ExtraPerRequest",
                "BudgetSpanS",
                "AskWithinS")) {
            check(rules, period, rules.number(period, 0) >= 0, "below 0");
        }
        List<Double> tenants = env.objects("Tenants").stream()
                .map(t -> t.number("AllowancePerS", 0))
                .toList();
        List<String> reports = env.within("Report").texts("Names");
        boolean asks = env.text("Discovery", "").equals("subscribe");
        try {
            return new SchedulerSettings(
                    env.whole("Instances", 1, 1 << 20, 1),
                    env.whole("Zone", 0, 1 << 20, 0),
                    env.number("TickS"),
                    asks,
                    classes,
                    tenants,
                    env.number("OverShareWorth", 1),
                    reports,
                    new ReplicaLayout(
                            family.whole("Slices", 1, 1 << 24),
                            cells,
                            family.whole("Span", 1, cells),
                            family.whole("Batch", 1, 1 << 16, 1)),
                    new SchedulerLimits(
                            limits.flag("Cancel", false),
                            limits.flag("MayDuplicate", false),
                            limits.flag("MayProbe", false),
                            limits.whole("MaxAttempts", 1, 1 << 16),
                            limits.whole("MostHeld", 1, Integer.MAX_VALUE, Integer.MAX_VALUE),
                            limits.flag("RetryAfter", false) ? limits.number("MaxRetryAfterS", 0) : 0),
                    new ProtocolRules(
                            rules.number("AnswerSlackS", 0),
                            rules.number("StopSendingWithinS", 0),
                            rules.number("ColdFrom", 1),
                            rules.number("WarmUpS", 0),
                            rules.number("FallMultiple", 1),
                            rules.number("FallS", 0),
                            rules.number("FreeResends", 0),
                            rules.number("ExtraPerRequest", 0),
                            rules.number("BudgetSpanS", 0),
                            asks ? rules.number("AskWithinS", 0) : 0));
        } catch (ConfigException e) {
            // Names its key already; it must not be taken for the module's own complaint below.
            throw e;
        } catch (IllegalArgumentException e) {
            throw new ConfigException("settings", String.valueOf(e.getMessage()).replace("settings: ", ""));
        }
    }
}
