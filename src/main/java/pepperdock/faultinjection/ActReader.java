package pepperdock.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import pepperdock.config.ConfigException;
import pepperdock.config.ConfigReader;
import pepperdock.faultinjection.Script.Action;
import pepperdock.faultinjection.Script.Await;
import pepperdock.faultinjection.Script.Draw;
import pepperdock.faultinjection.Script.Heal;
import pepperdock.faultinjection.Script.OnClocks;
import pepperdock.faultinjection.Script.OnDisks;
import pepperdock.faultinjection.Script.OnLinks;
import pepperdock.faultinjection.Script.OnProcesses;
import pepperdock.faultinjection.Script.Partition;
import pepperdock.faultinjection.Script.Reset;
import pepperdock.faultinjection.Script.Targets;
import pepperdock.faultinjection.Script.What;

/** Reads one act of a script. */
final class ActReader {

    private static final double SECONDS_MOST = Script.SECONDS_MOST;
    private static final List<String> DISKS = List.of("full", "broken", "slow");

    private final ConfigReader keys;
    private final List<String> names;

    /** {@code names} are those of all members. */
    ActReader(ConfigReader keys, List<String> names) {
        this.keys = keys;
        this.names = names;
    }

    Action read() {
        if (keys.has("await")) {
            keys.rejectUnknownKeys("await", "members");
            return new Await(keys.text("await"), whom("members"));
        }
        double at = seconds("at", 0);
        double last = ScriptReader.seconds(keys, "for", Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
        double flip = seconds("flip_s", 0);
        String fault = keys.text("fault");
        return switch (fault) {
            case "cut", "loss", "duplicate", "delay", "reorder", "throttle", "stall" -> onLinks(fault, at, last, flip);
            case "partition" -> partition(at, last);
            case "reset" -> reset(at);
            case "heal" -> {
                keys.rejectUnknownKeys("at", "fault");
                yield new Heal(at);
            }
            case "stop", "continue", "kill", "term", "start" -> onProcesses(fault, at, last);
            case "disk" -> onDisks(at, last);
            case "clock" -> onClocks(at);
            case "drawn" -> draw(at, last);
            default -> throw new ConfigException(keys.key("fault"), "no fault " + fault);
        };
    }

    private Action onLinks(String fault, double at, double last, double flip) {
        keys.rejectUnknownKeys(
                "at", "for", "flip_s", "fault", "from", "to", "both", "share", "by_s", "spread_s", "bytes_per_s");
        LinkFaults.Kind kind = LinkFaults.Kind.valueOf(fault.toUpperCase(Locale.ROOT));
        double amount = switch (kind) {
            case LOSS, DUPLICATE, REORDER -> share();
            case DELAY -> seconds("by_s", 0);
            case THROTTLE -> keys.integer("bytes_per_s", 1, 1 << 30);
            case CUT, STALL -> 0;
        };
        if (flip > 0 && Double.isInfinite(last)) {
            throw new ConfigException(keys.key("for"), "needed with flip_s");
        }
        return new OnLinks(
                at,
                kind,
                amount,
                seconds("spread_s", 0),
                whom("from"),
                whom("to"),
                keys.flag("both", false),
                last,
                flip);
    }

    private Action reset(double at) {
        keys.rejectUnknownKeys("at", "fault", "from", "to", "both");
        return new Reset(at, whom("from"), whom("to"), keys.flag("both", false));
    }

    private Action onProcesses(String fault, double at, double last) {
        keys.rejectUnknownKeys("at", "for", "fault", "members", "apart_s", "folder", "ports");
        return new OnProcesses(
                at,
                What.valueOf(fault.toUpperCase(Locale.ROOT)),
                whom("members"),
                last,
                seconds("apart_s", 0),
                word("folder", "kept", "empty"),
                word("ports", "kept", "new"));
    }

    private Action onDisks(double at, double last) {
        keys.rejectUnknownKeys("at", "for", "fault", "is", "by_s", "members");
        String is = keys.text("is");
        if (!DISKS.contains(is)) {
            throw new ConfigException(keys.key("is"), "none of " + DISKS);
        }
        return new OnDisks(at, is, is.equals("slow") ? seconds("by_s", 0.1) : 0, whom("members"), last);
    }

    private Action onClocks(double at) {
        keys.rejectUnknownKeys("at", "fault", "by_s", "members");
        return new OnClocks(at, whom("members"), ScriptReader.seconds(keys, "by_s", 3600, Double.MAX_VALUE));
    }

    private Action draw(double at, double last) {
        keys.rejectUnknownKeys("at", "for", "fault", "every_s", "kinds", "least_s", "most_s", "most_members");
        if (Double.isInfinite(last)) {
            throw new ConfigException(keys.key("for"), "missing");
        }
        double every = seconds("every_s", 5);
        if (every < 0.05 || last / every > ScriptReader.ACTS_MOST) {
            throw new ConfigException(keys.key("every_s"), "too often");
        }
        for (String kind : keys.texts("kinds")) {
            if (!Timetable.DRAWN.contains(kind)) {
                throw new ConfigException(keys.key("kinds"), "no kind " + kind + ", only " + Timetable.DRAWN);
            }
        }
        return new Draw(
                at,
                last,
                every,
                keys.has("kinds") ? List.copyOf(keys.texts("kinds")) : Timetable.DRAWN,
                seconds("least_s", 1),
                seconds("most_s", 10),
                keys.integer("most_members", 1, Script.MEMBERS_MOST, 1));
    }

    private Action partition(double at, double last) {
        keys.rejectUnknownKeys("at", "for", "fault", "groups", "into", "share", "move_s");
        List<List<String>> groups = new ArrayList<>();
        if (keys.has("groups")) {
            for (ConfigReader g : keys.objects("groups")) {
                g.rejectUnknownKeys("members");
                groups.add(known(g, "members"));
            }
        }
        if (keys.has("share")) {
            int first = (int) Math.ceil(share() * names.size());
            if (first < 1 || first >= names.size() || !groups.isEmpty()) {
                throw new ConfigException(keys.key("share"), "leaves nobody on one side, or stands beside groups");
            }
            groups.add(names.subList(0, first));
            groups.add(names.subList(first, names.size()));
        }
        double move = seconds("move_s", 0);
        if (groups.isEmpty() == !keys.has("into")) {
            throw new ConfigException(keys.key("into"), "needed where there are no groups, and only there");
        }
        if (move > 0 && (Double.isInfinite(last) || !groups.isEmpty())) {
            throw new ConfigException(keys.key("move_s"), "needs into and for");
        }
        return new Partition(at, groups, groups.isEmpty() ? keys.integer("into", 2, names.size()) : 0, last, move);
    }

    /** A list of names, a number of members to draw, or nothing for all. */
    private Targets whom(String name) {
        if (!keys.has(name)) {
            return Targets.ALL;
        }
        if (keys.json(name).startsWith("[")) {
            return new Targets(known(keys, name), 0);
        }
        double share = keys.number(name);
        return new Targets(
                List.of(),
                share > 0 && share < 1 ? (int) Math.ceil(share * names.size()) : keys.integer(name, 1, names.size()));
    }

    private List<String> known(ConfigReader k, String name) {
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

    private boolean word(String name, String off, String on) {
        String given = keys.text(name, off);
        if (!given.equals(off) && !given.equals(on)) {
            throw new ConfigException(keys.key(name), "neither " + off + " nor " + on);
        }
        return given.equals(on);
    }

    private double share() {
        double share = keys.number("share");
        if (!(share >= 0 && share <= 1)) {
            throw new ConfigException(keys.key("share"), "not between 0 and 1");
        }
        return share;
    }

    private double seconds(String name, double otherwise) {
        return ScriptReader.seconds(keys, name, otherwise, SECONDS_MOST);
    }
}
