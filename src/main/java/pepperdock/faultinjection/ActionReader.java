package pepperdock.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import pepperdock.config.ConfigException;
import pepperdock.config.ConfigReader;
import pepperdock.faultinjection.Script.Action;
import pepperdock.faultinjection.Script.AwaitAction;
import pepperdock.faultinjection.Script.ClockFaultAction;
import pepperdock.faultinjection.Script.DiskFaultAction;
import pepperdock.faultinjection.Script.HealAction;
import pepperdock.faultinjection.Script.LinkFaultAction;
import pepperdock.faultinjection.Script.PartitionAction;
import pepperdock.faultinjection.Script.ProcessAction;
import pepperdock.faultinjection.Script.ProcessFaultAction;
import pepperdock.faultinjection.Script.RandomFaultsAction;
import pepperdock.faultinjection.Script.ResetAction;
import pepperdock.faultinjection.Script.Targets;

/** Reads one action of a script. */
final class ActionReader {

    private static final double MAX_SECONDS = Script.MAX_SECONDS;
    private static final List<String> DISK_FAULTS = List.of("full", "broken", "slow");

    private final ConfigReader keys;
    private final List<String> names;

    /** Creates a reader; {@code names} are the names of all members. */
    ActionReader(ConfigReader keys, List<String> names) {
        this.keys = keys;
        this.names = names;
    }

    Action read() {
        if (keys.has("await")) {
            keys.rejectUnknownKeys("await", "members");
            return new AwaitAction(keys.text("await"), targets("members"));
        }
        double at = seconds("at", 0);
        double duration = ScriptReader.seconds(keys, "for", Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
        double flip = seconds("flip_s", 0);
        String fault = keys.text("fault");
        return switch (fault) {
            case "cut", "loss", "duplicate", "delay", "reorder", "throttle", "stall" ->
                onLinks(fault, at, duration, flip);
            case "partition" -> partition(at, duration);
            case "reset" -> reset(at);
            case "heal" -> {
                keys.rejectUnknownKeys("at", "fault");
                yield new HealAction(at);
            }
            case "stop", "continue", "kill", "term", "start" -> onProcesses(fault, at, duration);
            case "disk" -> onDisks(at, duration);
            case "clock" -> onClocks(at);
            case "drawn" -> draw(at, duration);
            default -> throw new ConfigException(keys.key("fault"), "unknown fault " + fault);
        };
    }

    private Action onLinks(String fault, double at, double duration, double flip) {
        keys.rejectUnknownKeys(
                "at", "for", "flip_s", "fault", "from", "to", "both", "share", "by_s", "spread_s", "bytes_per_s");
        LinkFaults.Kind kind = LinkFaults.Kind.valueOf(fault.toUpperCase(Locale.ROOT));
        double amount = switch (kind) {
            case LOSS, DUPLICATE, REORDER -> share();
            case DELAY -> seconds("by_s", 0);
            case THROTTLE -> keys.integer("bytes_per_s", 1, 1 << 30);
            case CUT, STALL -> 0;
        };
        if (flip > 0 && Double.isInfinite(duration)) {
            throw new ConfigException(keys.key("for"), "required with flip_s");
        }
        return new LinkFaultAction(
                at,
                kind,
                amount,
                seconds("spread_s", 0),
                targets("from"),
                targets("to"),
                keys.flag("both", false),
                duration,
                flip);
    }

    private Action reset(double at) {
        keys.rejectUnknownKeys("at", "fault", "from", "to", "both");
        return new ResetAction(at, targets("from"), targets("to"), keys.flag("both", false));
    }

    private Action onProcesses(String fault, double at, double duration) {
        keys.rejectUnknownKeys("at", "for", "fault", "members", "apart_s", "folder", "ports");
        return new ProcessFaultAction(
                at,
                ProcessAction.valueOf(fault.toUpperCase(Locale.ROOT)),
                targets("members"),
                duration,
                seconds("apart_s", 0),
                isChosen("folder", "kept", "empty"),
                isChosen("ports", "kept", "new"));
    }

    private Action onDisks(double at, double duration) {
        keys.rejectUnknownKeys("at", "for", "fault", "is", "by_s", "members");
        String diskFault = keys.text("is");
        if (!DISK_FAULTS.contains(diskFault)) {
            throw new ConfigException(keys.key("is"), "expected one of " + DISK_FAULTS);
        }
        return new DiskFaultAction(
                at, diskFault, diskFault.equals("slow") ? seconds("by_s", 0.1) : 0, targets("members"), duration);
    }

    private Action onClocks(double at) {
        keys.rejectUnknownKeys("at", "fault", "by_s", "members");
        return new ClockFaultAction(at, targets("members"), ScriptReader.seconds(keys, "by_s", 3600, Double.MAX_VALUE));
    }

    private Action draw(double at, double duration) {
        keys.rejectUnknownKeys("at", "for", "fault", "every_s", "kinds", "least_s", "most_s", "most_members");
        if (Double.isInfinite(duration)) {
            throw new ConfigException(keys.key("for"), "missing");
        }
        double interval = seconds("every_s", 5);
        if (interval < 0.05 || duration / interval > ScriptReader.MAX_ACTIONS) {
            throw new ConfigException(
                    keys.key("every_s"),
                    "must be at least 0.05 s, with at most " + ScriptReader.MAX_ACTIONS + " faults in all");
        }
        for (String kind : keys.texts("kinds")) {
            if (!FaultSchedule.RANDOM_KINDS.contains(kind)) {
                throw new ConfigException(
                        keys.key("kinds"), "unknown kind " + kind + ", expected one of " + FaultSchedule.RANDOM_KINDS);
            }
        }
        return new RandomFaultsAction(
                at,
                duration,
                interval,
                keys.has("kinds") ? List.copyOf(keys.texts("kinds")) : FaultSchedule.RANDOM_KINDS,
                seconds("least_s", 1),
                seconds("most_s", 10),
                keys.integer("most_members", 1, Script.MAX_MEMBERS, 1));
    }

    private Action partition(double at, double duration) {
        keys.rejectUnknownKeys("at", "for", "fault", "groups", "into", "share", "move_s");
        List<List<String>> groups = new ArrayList<>();
        if (keys.has("groups")) {
            for (ConfigReader group : keys.objects("groups")) {
                group.rejectUnknownKeys("members");
                groups.add(memberNames(group, "members"));
            }
        }
        if (keys.has("share")) {
            int first = (int) Math.ceil(share() * names.size());
            if (first < 1 || first >= names.size() || !groups.isEmpty()) {
                throw new ConfigException(
                        keys.key("share"), "must leave members on both sides, and cannot be combined with groups");
            }
            groups.add(names.subList(0, first));
            groups.add(names.subList(first, names.size()));
        }
        double move = seconds("move_s", 0);
        if (groups.isEmpty() == !keys.has("into")) {
            throw new ConfigException(keys.key("into"), "required without groups or share, not allowed with them");
        }
        if (move > 0 && (Double.isInfinite(duration) || !groups.isEmpty())) {
            throw new ConfigException(keys.key("move_s"), "requires into and for");
        }
        return new PartitionAction(
                at, groups, groups.isEmpty() ? keys.integer("into", 2, names.size()) : 0, duration, move);
    }

    /**
     * Reads targets: a list of names, a number or share of members to choose at random, or all members if the key is
     * missing.
     */
    private Targets targets(String name) {
        if (!keys.has(name)) {
            return Targets.ALL;
        }
        if (keys.json(name).startsWith("[")) {
            return new Targets(memberNames(keys, name), 0);
        }
        double share = keys.number(name);
        return new Targets(
                List.of(),
                share > 0 && share < 1 ? (int) Math.ceil(share * names.size()) : keys.integer(name, 1, names.size()));
    }

    private List<String> memberNames(ConfigReader reader, String name) {
        List<String> given = reader.texts(name);
        for (String member : given) {
            if (!names.contains(member)) {
                throw new ConfigException(reader.key(name), "unknown member " + member);
            }
        }
        if (given.isEmpty() || Set.copyOf(given).size() < given.size()) {
            throw new ConfigException(reader.key(name), "empty, or names a member twice");
        }
        return List.copyOf(given);
    }

    private boolean isChosen(String name, String off, String on) {
        String given = keys.text(name, off);
        if (!given.equals(off) && !given.equals(on)) {
            throw new ConfigException(keys.key(name), "expected " + off + " or " + on);
        }
        return given.equals(on);
    }

    private double share() {
        double share = keys.number("share");
        if (!(share >= 0 && share <= 1)) {
            throw new ConfigException(keys.key("share"), "must be from 0 to 1");
        }
        return share;
    }

    private double seconds(String name, double defaultValue) {
        return ScriptReader.seconds(keys, name, defaultValue, MAX_SECONDS);
    }
}
