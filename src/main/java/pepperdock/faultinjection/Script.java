package pepperdock.faultinjection;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Map;

/**
 * A script file, read and validated: the fleet, the configuration of its members, the checkers, and the actions in
 * order. An action has a time counted from the last {@code await}, a fault, its targets, a duration, and whether it
 * flips on and off. See {@code docs/rig.md} for the keys.
 *
 * @param config the configuration of a member, with placeholders such as {@code {name}} in its texts
 * @param own by member, the keys that override those of {@code config}
 */
record Script(
        long seed,
        List<String> names,
        List<String> zones,
        int machines,
        JsonObject config,
        JsonObject own,
        List<Port> ports,
        List<String> checkers,
        double maxDurationS,
        double settleTimeoutS,
        double maxLatenessS,
        List<Action> actions) {

    /** Bounds of any run, and of a run with real processes, which all share one machine. */
    static final int MAX_MEMBERS = 2000;

    static final int MAX_PROCESSES = 60;
    static final double MAX_SECONDS = 7200;

    /** A port that each member listens on, {@code {port:NAME}} in the configuration, for streams, datagrams or both. */
    record Port(String name, boolean streams, boolean datagrams) {}

    /**
     * Targets of a fault: members by name, or a number of members chosen at random (a share is converted to a number);
     * all members if names are empty and the number is 0.
     */
    record Targets(List<String> names, int randomCount) {
        static final Targets ALL = new Targets(List.of(), 0);
    }

    /** One entry of the script. */
    sealed interface Action
            permits AwaitAction,
                    LinkFaultAction,
                    PartitionAction,
                    ResetAction,
                    HealAction,
                    ProcessFaultAction,
                    DiskFaultAction,
                    ClockFaultAction,
                    RandomFaultsAction {}

    /** Waits until the checkers confirm the condition for these members; later times count from then. */
    record AwaitAction(String condition, Targets targets) implements Action {}

    /**
     * A fault on links. An infinite {@code durationS} lasts to the end of the run; with {@code flipIntervalS} above 0,
     * the fault is switched on and off at that interval.
     */
    record LinkFaultAction(
            double at,
            LinkFaults.Kind kind,
            double amount,
            double spread,
            Targets from,
            Targets to,
            boolean both,
            double durationS,
            double flipIntervalS)
            implements Action {}

    /**
     * Groups that cannot reach each other: named, or a number of equal groups chosen at random, and chosen again every
     * {@code moveIntervalS} if that is above 0.
     */
    record PartitionAction(
            double at, List<List<String>> groups, int randomCount, double durationS, double moveIntervalS)
            implements Action {}

    /** Resets the streams of these links. */
    record ResetAction(double at, Targets from, Targets to, boolean both) implements Action {}

    /** Ends all faults on links that have no end of their own. */
    record HealAction(double at) implements Action {}

    /** Action on a process. */
    enum ProcessAction {
        STOP,
        CONTINUE,
        KILL,
        TERM,
        START
    }

    /**
     * A fault of processes. With a finite duration, a stopped process is continued, and a killed or terminated one
     * started again, at its end. {@code staggerS} is the time between one member and the next.
     */
    record ProcessFaultAction(
            double at,
            ProcessAction action,
            Targets targets,
            double durationS,
            double staggerS,
            boolean emptyFolder,
            boolean newPorts)
            implements Action {}

    /**
     * A fault of the disks of members: {@code full}, {@code broken}, or {@code slow}, which delays each sync by {@code
     * byS} seconds.
     */
    record DiskFaultAction(double at, String diskFault, double byS, Targets targets, double durationS)
            implements Action {}

    /** Moves the clocks of members forward at once; in simulated time only. */
    record ClockFaultAction(double at, Targets targets, double byS) implements Action {}

    /**
     * Random faults over {@code durationS} seconds: one every {@code intervalS}, of a random kind from the list, with a
     * random duration between the bounds.
     */
    record RandomFaultsAction(
            double at,
            double durationS,
            double intervalS,
            List<String> kinds,
            double minDurationS,
            double maxDurationS,
            int maxMembers)
            implements Action {}

    /** Returns the same script with another seed. */
    Script seeded(long other) {
        return new Script(
                other,
                names,
                zones,
                machines,
                config,
                own,
                ports,
                checkers,
                maxDurationS,
                settleTimeoutS,
                maxLatenessS,
                actions);
    }

    /** Returns the configuration of one member, with its own keys merged in. */
    JsonObject configOf(String member) {
        JsonObject all = config.deepCopy();
        if (own.has(member)) {
            put(all, own.getAsJsonObject(member));
        }
        return all;
    }

    private static void put(JsonObject into, JsonObject from) {
        for (Map.Entry<String, JsonElement> e : from.entrySet()) {
            if (e.getValue().isJsonObject()
                    && into.has(e.getKey())
                    && into.get(e.getKey()).isJsonObject()) {
                put(into.getAsJsonObject(e.getKey()), e.getValue().getAsJsonObject());
            } else {
                into.add(e.getKey(), e.getValue());
            }
        }
    }

    /** Returns the name that a member has in the fleet: the name of another member if its own keys set it. */
    String named(String member) {
        return own.has(member) && own.getAsJsonObject(member).has("name")
                ? own.getAsJsonObject(member).get("name").getAsString()
                : member;
    }
}
