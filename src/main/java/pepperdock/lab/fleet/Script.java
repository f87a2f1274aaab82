package pepperdock.lab.fleet;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.Keys;

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
        List<Act> acts) {

    /** Bounds of any run, and of one with real processes: this is a rig for one machine. */
    static final int MEMBERS_MOST = 2000;

    static final int PROCESSES_MOST = 60;
    static final double SECONDS_MOST = 7200;
    private static final int ACTS_MOST = 10_000;
    private static final List<String> DISKS = List.of("full", "broken", "slow");

    /** A port that each member listens on, in the configuration as {@code {port:NAME}}, for streams, datagrams or both. */
    record Port(String name, boolean streams, boolean datagrams) {}

    /** Whom: by name, or so many drawn; every member where both are empty. A share of them is read as a number. */
    record Whom(List<String> names, int drawn) {
        static final Whom ALL = new Whom(List.of(), 0);
    }

    /** One line of the script. */
    sealed interface Act permits Await, OnLinks, Partition, Reset, Heal, OnProcesses, OnDisks, OnClocks, Draw {}

    /** Go on only once the checkers say that this holds, of these members; times count anew from here. */
    record Await(String condition, Whom whom) implements Act {}

    /** A fault on links. {@code lastS} infinite: to the end. {@code flipS} above 0: on and off by turns of that length. */
    record OnLinks(
            double at,
            Links.Kind kind,
            double amount,
            double spread,
            Whom from,
            Whom to,
            boolean both,
            double lastS,
            double flipS)
            implements Act {}

    /** Groups that do not reach each other; named, or so many of the same size, drawn. {@code moveS}: drawn anew so often. */
    record Partition(double at, List<List<String>> groups, int drawn, double lastS, double moveS) implements Act {}

    /** Streams of these links are reset. */
    record Reset(double at, Whom from, Whom to, boolean both) implements Act {}

    /** All faults on links that have no end of their own end. */
    record Heal(double at) implements Act {}

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
            double at, What what, Whom whom, double lastS, double apartS, boolean emptyFolder, boolean newPorts)
            implements Act {}

    /** What is with the disks of members: {@code full}, {@code broken}, or {@code slow}, each sync by so many seconds. */
    record OnDisks(double at, String is, double byS, Whom whom, double lastS) implements Act {}

    /** The clocks by which members measure time go forward at once; in simulated time only. */
    record OnClocks(double at, Whom whom, double byS) implements Act {}

    /** Faults drawn for so long: one every so often, each of a kind from the list, lasting between the two. */
    record Draw(double at, double forS, double everyS, List<String> kinds, double leastS, double mostS, int mostMembers)
            implements Act {}

    static Script read(Path file) {
        return read(file, 0);
    }

    /** {@code members} goes before the file's own count where it is above 0. */
    static Script read(Path file, int members) {
        try {
            Keys all = Keys.of("", Config.parse(Files.readString(file), file.toString()));
            return read(
                    members > 0 ? all.with("members", new JsonPrimitive(members)) : all,
                    file.toAbsolutePath().getParent());
        } catch (IOException e) {
            throw new ConfigException(file.toString(), "can't be read");
        }
    }

    static Script read(Keys k, Path beside) {
        k.only(
                "seed",
                "members",
                "zones",
                "machines",
                "base",
                "config",
                "own",
                "ports",
                "checkers",
                "most_s",
                "settle_s",
                "late_most_s",
                "script");
        int n = k.whole("members", 1, MEMBERS_MOST);
        List<String> names = IntStream.rangeClosed(1, n).mapToObj(i -> "g" + i).toList();
        JsonObject config = new JsonObject();
        if (k.has("base")) {
            Path base = beside.resolve(k.text("base"));
            try {
                Config.parse(Files.readString(base), k.key("base"))
                        .getAsJsonObject()
                        .entrySet()
                        .forEach(e -> config.add(e.getKey(), e.getValue()));
            } catch (IOException | IllegalStateException e) {
                throw new ConfigException(k.key("base"), "no configuration can be read from " + base);
            }
        }
        if (k.has("config")) {
            Config.parse(k.json("config"), k.key("config"))
                    .getAsJsonObject()
                    .entrySet()
                    .forEach(e -> config.add(e.getKey(), e.getValue()));
        }
        Keys own = k.within("own");
        for (String name : own.names()) {
            if (!names.contains(name)) {
                throw new ConfigException(own.key(name), "no such member");
            }
            own.within(name);
        }
        List<Port> ports = k.objects("ports").stream()
                .map(p -> {
                    p.only("name", "for");
                    String kind = p.text("for");
                    if (!List.of("streams", "datagrams", "both").contains(kind)) {
                        throw new ConfigException(p.key("for"), "neither streams, datagrams nor both");
                    }
                    return new Port(p.text("name"), !kind.equals("datagrams"), !kind.equals("streams"));
                })
                .toList();
        List<Act> acts = new ArrayList<>();
        for (Keys act : k.objects("script")) {
            acts.add(act(act, names));
        }
        if (acts.size() > ACTS_MOST) {
            throw new ConfigException(k.key("script"), "more than " + ACTS_MOST + " acts");
        }
        return new Script(
                (long) k.number("seed", 1),
                names,
                k.has("zones") ? List.copyOf(k.texts("zones")) : List.of("z"),
                k.whole("machines", 1, MEMBERS_MOST, n),
                config,
                k.has("own") ? Config.parse(k.json("own"), k.key("own")).getAsJsonObject() : new JsonObject(),
                ports,
                List.copyOf(k.texts("checkers")),
                seconds(k, "most_s", 300, SECONDS_MOST),
                seconds(k, "settle_s", 60, SECONDS_MOST),
                seconds(k, "late_most_s", 1, SECONDS_MOST),
                List.copyOf(acts));
    }

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

    private static Act act(Keys a, List<String> names) {
        if (a.has("await")) {
            a.only("await", "members");
            return new Await(a.text("await"), whom(a, "members", names));
        }
        double at = seconds(a, "at", 0, SECONDS_MOST);
        double last = seconds(a, "for", Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
        double flip = seconds(a, "flip_s", 0, SECONDS_MOST);
        String fault = a.text("fault");
        switch (fault) {
            case "cut", "loss", "duplicate", "delay", "reorder", "throttle", "stall" -> {
                a.only(
                        "at",
                        "for",
                        "flip_s",
                        "fault",
                        "from",
                        "to",
                        "both",
                        "share",
                        "by_s",
                        "spread_s",
                        "bytes_per_s");
                Links.Kind kind = Links.Kind.valueOf(fault.toUpperCase(Locale.ROOT));
                double amount = switch (kind) {
                    case LOSS, DUPLICATE, REORDER -> share(a);
                    case DELAY -> seconds(a, "by_s", 0, SECONDS_MOST);
                    case THROTTLE -> a.whole("bytes_per_s", 1, 1 << 30);
                    case CUT, STALL -> 0;
                };
                if (flip > 0 && Double.isInfinite(last)) {
                    throw new ConfigException(a.key("for"), "needed with flip_s");
                }
                return new OnLinks(
                        at,
                        kind,
                        amount,
                        seconds(a, "spread_s", 0, SECONDS_MOST),
                        whom(a, "from", names),
                        whom(a, "to", names),
                        a.flag("both", false),
                        last,
                        flip);
            }
            case "partition" -> {
                a.only("at", "for", "fault", "groups", "into", "share", "move_s");
                return partition(a, names, at, last);
            }
            case "reset" -> {
                a.only("at", "fault", "from", "to", "both");
                return new Reset(at, whom(a, "from", names), whom(a, "to", names), a.flag("both", false));
            }
            case "heal" -> {
                a.only("at", "fault");
                return new Heal(at);
            }
            case "stop", "continue", "kill", "term", "start" -> {
                a.only("at", "for", "fault", "members", "apart_s", "folder", "ports");
                What what = What.valueOf(fault.toUpperCase(Locale.ROOT));
                return new OnProcesses(
                        at,
                        what,
                        whom(a, "members", names),
                        last,
                        seconds(a, "apart_s", 0, SECONDS_MOST),
                        word(a, "folder", "kept", "empty"),
                        word(a, "ports", "kept", "new"));
            }
            case "disk" -> {
                a.only("at", "for", "fault", "is", "by_s", "members");
                String is = a.text("is");
                if (!DISKS.contains(is)) {
                    throw new ConfigException(a.key("is"), "none of " + DISKS);
                }
                return new OnDisks(
                        at,
                        is,
                        is.equals("slow") ? seconds(a, "by_s", 0.1, SECONDS_MOST) : 0,
                        whom(a, "members", names),
                        last);
            }
            case "clock" -> {
                a.only("at", "fault", "by_s", "members");
                return new OnClocks(at, whom(a, "members", names), seconds(a, "by_s", 3600, Double.MAX_VALUE));
            }
            case "drawn" -> {
                a.only("at", "for", "fault", "every_s", "kinds", "least_s", "most_s", "most_members");
                if (Double.isInfinite(last)) {
                    throw new ConfigException(a.key("for"), "missing");
                }
                double every = seconds(a, "every_s", 5, SECONDS_MOST);
                if (every < 0.05 || last / every > ACTS_MOST) {
                    throw new ConfigException(a.key("every_s"), "too often");
                }
                for (String kind : a.texts("kinds")) {
                    if (!Timetable.DRAWN.contains(kind)) {
                        throw new ConfigException(a.key("kinds"), "no kind " + kind + ", only " + Timetable.DRAWN);
                    }
                }
                return new Draw(
                        at,
                        last,
                        every,
                        a.has("kinds") ? List.copyOf(a.texts("kinds")) : Timetable.DRAWN,
                        seconds(a, "least_s", 1, SECONDS_MOST),
                        seconds(a, "most_s", 10, SECONDS_MOST),
                        a.whole("most_members", 1, MEMBERS_MOST, 1));
            }
            default -> throw new ConfigException(a.key("fault"), "no fault " + fault);
        }
    }

    private static Partition partition(Keys a, List<String> names, double at, double last) {
        List<List<String>> groups = new ArrayList<>();
        if (a.has("groups")) {
            for (Keys g : a.objects("groups")) {
                g.only("members");
                groups.add(known(g, "members", names));
            }
        }
        if (a.has("share")) {
            int first = (int) Math.ceil(share(a) * names.size());
            if (first < 1 || first >= names.size() || !groups.isEmpty()) {
                throw new ConfigException(a.key("share"), "leaves nobody on one side, or stands beside groups");
            }
            groups.add(names.subList(0, first));
            groups.add(names.subList(first, names.size()));
        }
        double move = seconds(a, "move_s", 0, SECONDS_MOST);
        if (groups.isEmpty() == !a.has("into")) {
            throw new ConfigException(a.key("into"), "needed where there are no groups, and only there");
        }
        if (move > 0 && (Double.isInfinite(last) || !groups.isEmpty())) {
            throw new ConfigException(a.key("move_s"), "needs into and for");
        }
        return new Partition(at, groups, groups.isEmpty() ? a.whole("into", 2, names.size()) : 0, last, move);
    }

    /** A list of names, a number of members to draw, or nothing for all. */
    private static Whom whom(Keys k, String name, List<String> names) {
        if (!k.has(name)) {
            return Whom.ALL;
        }
        if (k.json(name).startsWith("[")) {
            return new Whom(known(k, name, names), 0);
        }
        double share = k.number(name);
        return new Whom(
                List.of(),
                share > 0 && share < 1 ? (int) Math.ceil(share * names.size()) : k.whole(name, 1, names.size()));
    }

    private static List<String> known(Keys k, String name, List<String> names) {
        List<String> given = k.texts(name);
        for (String g : given) {
            if (!names.contains(g)) {
                throw new ConfigException(k.key(name), "no member " + g);
            }
        }
        if (given.isEmpty() || Set.copyOf(given).size() < given.size()) {
            throw new ConfigException(k.key(name), "empty, or a member twice");
        }
        return List.copyOf(given);
    }

    private static boolean word(Keys k, String name, String off, String on) {
        String given = k.text(name, off);
        if (!given.equals(off) && !given.equals(on)) {
            throw new ConfigException(k.key(name), "neither " + off + " nor " + on);
        }
        return given.equals(on);
    }

    private static double share(Keys k) {
        double share = k.number("share");
        if (!(share >= 0 && share <= 1)) {
            throw new ConfigException(k.key("share"), "not between 0 and 1");
        }
        return share;
    }

    private static double seconds(Keys k, String name, double otherwise, double most) {
        double s = k.number(name, otherwise);
        if (!(s >= 0 && s <= most)) {
            throw new ConfigException(k.key(name), "not a number of seconds from 0 to " + most);
        }
        return s;
    }
}
