package pepperdock.faultinjection;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Map;

/**
 * A rig's file, read and checked: the fleet, its members' configuration, the checkers, and the acts in their order. An act
 * has a time counted from the last {@code await}, a fault, whom it befalls, how long it lasts, and whether it flips. See
 * {@code docs/rig.md} for the keys.
 *
 * @param config the configuration of a member, with {@code {name}} and the like in its texts
 * @param own by member, what goes before the same keys of {@code config}
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
        double mostS,
        double settleS,
        double lateMost,
        List<Action> acts) {

    /** Bounds of any run, and of one with real processes: this is a rig for one machine. */
    static final int MEMBERS_MOST = 2000;

    static final int PROCESSES_MOST = 60;
    static final double SECONDS_MOST = 7200;

    /** A port that each member listens on, in the configuration as {@code {port:NAME}}, for streams, datagrams or both. */
    record Port(String name, boolean streams, boolean datagrams) {}

    /** Whom: by name, or so many drawn; every member where both are empty. A share of them is read as a number. */
    record Targets(List<String> names, int drawn) {
        static final Targets ALL = new Targets(List.of(), 0);
    }

    /** One line of the script. */
    sealed interface Action permits Await, OnLinks, Partition, Reset, Heal, OnProcesses, OnDisks, OnClocks, Draw {}

    /** Go on only once the checkers say that this holds, of these members; times count anew from here. */
    record Await(String condition, Targets whom) implements Action {}

    /** A fault on links. {@code lastS} infinite: to the end. {@code flipS} above 0: on and off by turns of that length. */
    record OnLinks(
            double at,
            LinkFaults.Kind kind,
            double amount,
            double spread,
            Targets from,
            Targets to,
            boolean both,
            double lastS,
            double flipS)
            implements Action {}

    /** Groups that do not reach each other; named, or so many of the same size, drawn. {@code moveS}: drawn anew so often. */
    record Partition(double at, List<List<String>> groups, int drawn, double lastS, double moveS) implements Action {}

    /** Streams of these links are reset. */
    record Reset(double at, Targets from, Targets to, boolean both) implements Action {}

    /** All faults on links that have no end of their own end. */
    record Heal(double at) implements Action {}

    /** What is done to a process. */
    enum What {
        STOP,
        CONTINUE,
        KILL,
        TERM,
        START
    }

    /**
     * What befalls processes. A stop, kill or term of some length ends with going on, or a start. {@code apartS}: one after
     * the other, so far apart.
     */
    record OnProcesses(
            double at, What what, Targets whom, double lastS, double apartS, boolean emptyFolder, boolean newPorts)
            implements Action {}

    /** What is with the disks of members: {@code full}, {@code broken}, or {@code slow}, each sync by so many seconds. */
    record OnDisks(double at, String is, double byS, Targets whom, double lastS) implements Action {}

    /** The clocks by which members measure time go forward at once; in simulated time only. */
    record OnClocks(double at, Targets whom, double byS) implements Action {}

    /** Faults drawn for so long: one every so often, each of a kind from the list, lasting between the two. */
    record Draw(double at, double forS, double everyS, List<String> kinds, double leastS, double mostS, int mostMembers)
            implements Action {}

    /** The same with another seed. */
    Script seeded(long other) {
        return new Script(other, names, zones, machines, config, own, ports, checkers, mostS, settleS, lateMost, acts);
    }

    /** The configuration of one member, its own keys put in. */
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

    /** The name that a member has in the fleet: another's where its own keys say so. */
    String named(String member) {
        return own.has(member) && own.getAsJsonObject(member).has("name")
                ? own.getAsJsonObject(member).get("name").getAsString()
                : member;
    }
}
