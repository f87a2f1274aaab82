package pepperdock.faultinjection;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Of membership. Always wrong: a change told twice or out of its order, or that does not begin where the last one ended; an
 * incarnation that goes back; more sent than the budget. At the end, or where {@code settled} is awaited: all that run see each
 * other here, under each one's newest life, and nobody else: so a refutation that is lost shows, and one dead or back from the
 * dead that is believed otherwise. Whether a running member may be called gone depends on the script: with the checker's strict
 * form it is a finding, else a figure, told by what had befallen the member until then, and a finding only where that was
 * nothing beyond what is promised to be borne. Two processes may have one name: then
 * one of them has to have it in all views, the same in each.
 */
final class MembersChecker implements Checker {

    /** Counted at the relay, in spans of about a second; a span may hold a second's worth more that was saved up. */
    private static final double SAVED_S = 1.1;

    private static final Hasher64 HASH = Hashing.xxh3_64();

    private record Held(String generation, long incarnation, String state) {}

    /** One process's view, as it told it. */
    private static final class Seen {
        private long number;
        private long roster;
        private final Map<String, Held> of = new TreeMap<>();
    }

    private final boolean strict;
    private final List<Finding> found = new ArrayList<>();
    private final Map<String, Seen> views = new TreeMap<>();
    /** The name that each process has had, its own as a rule; and each process's newest life. */
    private final Map<String, String> names = new TreeMap<>();

    private final Map<String, String> generations = new TreeMap<>();
    /** By name: lives of processes that run. */
    private final Map<String, Set<String>> running = new TreeMap<>();
    /** By name: all lives ever begun, and those that anybody told of. */
    private final Map<String, Set<String>> begun = new HashMap<>();

    private final Map<String, Set<String>> toldOf = new HashMap<>();
    private final Map<String, FaultExposure> exposures = new HashMap<>();
    private final Map<String, Double> borneS = new HashMap<>();
    private final Set<String> up = new HashSet<>();
    private final Map<String, Double> endedAt = new HashMap<>();
    private final Map<String, double[]> budgets = new HashMap<>();
    private final MembershipMetrics metrics = new MembershipMetrics();
    /** Seen since the fleet was first together. */
    private final Set<Long> rosters = new HashSet<>();

    private boolean gathered;
    /** By viewer: whom it sees otherwise than it is. */
    private final Map<String, Set<String>> wrong = new TreeMap<>();
    /** By name: how many see it otherwise than it is; and the sum of them. */
    private final Map<String, Integer> wrongOf = new HashMap<>();

    private int wrongs;
    private long last;
    private double at;
    private double faultAt = Double.NaN;
    private boolean agreed;

    MembersChecker(boolean strict) {
        this.strict = strict;
    }

    @Override
    public void see(long number, Event event) {
        last = number;
        metrics.memberSeconds += (event.at() - at) * up.size();
        at = event.at();
        if (event.ofRig()) {
            rig(number, event);
        } else {
            member(number, event);
        }
    }

    private void rig(long number, Event event) {
        switch (event.what()) {
            case "kill", "term" -> {
                fault(event);
                for (String member : event.members()) {
                    down(member);
                    endedAt.put(names.getOrDefault(member, member), event.at());
                    if (exposures.containsKey(member)) {
                        exposures.get(member).ended();
                    }
                }
            }
            case "exit" -> {
                down(event.text("member"));
                views.remove(event.text("member"));
            }
            case "reached" -> {
                gathered = true;
                views.values().forEach(v -> rosters.add(v.roster));
            }
            case "stop", "cont" -> {
                fault(event);
                for (String member : event.members()) {
                    if (event.what().equals("cont")) {
                        exposure(member).continued(event.at());
                    } else {
                        exposure(member).stopped(event.at());
                    }
                }
            }
            case "fault on", "fault off" -> {
                fault(event);
                fault((int) event.whole("number"), event);
            }
            case "start", "reset", "clock" -> fault(event);
            case "traffic" -> {
                double[] budget = budgets.get(event.text("member"));
                if (budget != null) {
                    double span = event.number("over_s") + SAVED_S;
                    metrics.datagrams.recordValue(Math.round(event.number("datagrams") / event.number("over_s")));
                    long bytes = Math.round(event.number("bytes") / event.number("over_s"));
                    metrics.bytes.recordValue(bytes);
                    if (gathered) {
                        metrics.bytesTogether.recordValue(bytes);
                    }
                    if (event.number("datagrams") > budget[0] * span || event.number("bytes") > budget[1] * span) {
                        found.add(new Finding("members", number, event.text("member") + " sent more than its budget"));
                    }
                }
            }
            default -> {}
        }
    }

    private void fault(Event event) {
        metrics.faults++;
        faultAt = event.at();
        agreed = false;
    }

    private void fault(int number, Event event) {
        if (event.what().equals("fault off")) {
            exposures.values().forEach(h -> h.off(number));
            return;
        }
        LinkFaults.Kind kind = LinkFaults.Kind.valueOf(event.text("kind").toUpperCase(Locale.ROOT));
        Map<String, Set<LinkFaults.Pair>> touched = new HashMap<>();
        for (LinkFaults.Pair p : LinkFaults.pairs(event.text("links"))) {
            touched.computeIfAbsent(p.from(), x -> new HashSet<>()).add(p);
            if (kind != LinkFaults.Kind.CUT) {
                touched.computeIfAbsent(p.to(), x -> new HashSet<>()).add(p);
            }
        }
        touched.forEach((who, pairs) ->
                exposure(who).on(who, number, new LinkFaults.Fault(kind, pairs, event.number("amount"), 0)));
    }

    /** What befalls this process adds to what came before, unless all was well again with it. */
    private FaultExposure exposure(String who) {
        FaultExposure exposure = exposures.get(who);
        if (exposure == null || exposure.over() && up.contains(who) && wrongOf.getOrDefault(names.get(who), 0) == 0) {
            exposure = new FaultExposure();
            exposures.put(who, exposure);
        }
        return exposure;
    }

    private void down(String process) {
        if (up.remove(process)) {
            running.get(names.get(process)).remove(generations.get(process));
            lookAtAll(process);
        }
    }

    private void member(long number, Event event) {
        switch (event.what()) {
            case "life" -> {
                down(event.who());
                views.put(event.who(), new Seen());
                names.put(event.who(), event.text("name"));
                generations.put(event.who(), event.text("life"));
                borneS.put(event.who(), event.number("bears_s"));
                running.computeIfAbsent(event.text("name"), n -> new HashSet<>())
                        .add(event.text("life"));
                begun.computeIfAbsent(event.text("name"), n -> new HashSet<>()).add(event.text("life"));
                up.add(event.who());
                lookAtAll(event.who());
                budgets.put(event.who(), new double[] {event.number("datagrams_per_s"), event.number("bytes_per_s")});
            }
            case "told" -> {
                if (gathered) {
                    rosters.add(views.get(event.who()).roster);
                }
            }
            case "refuted" -> metrics.refutations++;
            case "change" -> change(number, event);
            default -> {}
        }
        if (!agreed && event.what().equals("change") && !Double.isNaN(faultAt) && wrongs == 0 && divided() == null) {
            agreed = true;
            metrics.agreementMs.recordValue(Math.round((event.at() - faultAt) * 1e3));
        }
    }

    private void change(long number, Event event) {
        Seen seen = views.computeIfAbsent(event.who(), w -> new Seen());
        String name = event.text("name");
        metrics.changes++;
        if (event.whole("no") != seen.number + 1) {
            found.add(new Finding(
                    "members", number, event.who() + " told change " + event.whole("no") + " after " + seen.number));
        }
        seen.number = event.whole("no");
        Held before = seen.of.get(name);
        boolean gone = event.text("to").equals("GONE");
        if (before != null && !before.state().equals(event.text("from"))
                || before == null && !event.text("from").isEmpty()) {
            found.add(new Finding(
                    "members",
                    number,
                    event.who() + " told a change of " + name + " from " + event.text("from")
                            + ", which it had told as " + (before == null ? "unknown" : before.state())));
        }
        if (before != null && event.whole("incarnation") < before.incarnation()) {
            found.add(new Finding(
                    "members",
                    number,
                    event.who() + " saw the incarnation of " + name + " go back from " + before.incarnation() + " to "
                            + event.whole("incarnation")));
        }
        seen.of.put(name, new Held(event.text("life"), event.whole("incarnation"), event.text("to")));
        toldOf.computeIfAbsent(name, n -> new HashSet<>()).add(event.text("life"));
        if (up.contains(event.who())) {
            look(event.who(), name);
        }
        if (gone && !event.text("why").startsWith("another life")) {
            if (running.getOrDefault(name, Set.of()).contains(event.text("life"))) {
                String process = up.stream()
                        .filter(p -> event.text("life").equals(generations.get(p)))
                        .findFirst()
                        .orElseThrow();
                String why = exposures
                        .getOrDefault(process, new FaultExposure())
                        .why(event.at(), borneS.get(process), names.size() - 1);
                metrics.falseVerdicts(why);
                if (strict || why.equals(FaultExposure.BORNE)) {
                    found.add(new Finding(
                            "members", number, event.who() + " called " + name + " gone, which was running"));
                }
            } else if (endedAt.containsKey(name)
                    && running.getOrDefault(name, Set.of()).isEmpty()) {
                metrics.detectionMs.recordValue(Math.round((event.at() - endedAt.get(name)) * 1e3));
            }
        }
        seen.roster ^= share(name, before) ^ share(name, seen.of.get(name));
    }

    /** A member's share of a roster's sum: rosters are told apart by the sums of those in them. */
    private static long share(String name, Held held) {
        return held == null || away(held.state()) ? 0 : HASH.hashCharsToLong(name + '/' + held.generation());
    }

    private static boolean away(String standing) {
        return standing.equals("GONE") || standing.equals("LEFT");
    }

    /** What keeps the views from being one and true; null where nothing does. */
    private String disagreement() {
        for (Map.Entry<String, Set<String>> mistaken : wrong.entrySet()) {
            if (!mistaken.getValue().isEmpty()) {
                String member = mistaken.getValue().iterator().next();
                Held held = views.get(mistaken.getKey()).of.get(member);
                Set<String> runningGenerations = running.getOrDefault(member, Set.of());
                return mistaken.getKey() + " sees " + member + ' '
                        + (held == null
                                ? "not at all"
                                : held.state().toLowerCase(Locale.ROOT) + " in life " + held.generation())
                        + ", and it is "
                        + (runningGenerations.isEmpty()
                                ? "not running"
                                : "running in life " + String.join(" and ", runningGenerations));
            }
        }
        return divided();
    }

    /** A name that several processes have, and that does not belong to the same one in all views; null where there is none. */
    private String divided() {
        for (Map.Entry<String, Set<String>> r : running.entrySet()) {
            if (r.getValue().size() > 1) {
                Set<String> held = new TreeSet<>();
                up.forEach(v -> held.add(
                        views.get(v).of.containsKey(r.getKey())
                                ? views.get(v).of.get(r.getKey()).generation()
                                : ""));
                if (held.size() > 1) {
                    return r.getKey() + " is one process in some views and another in others: lives " + held;
                }
            }
        }
        return null;
    }

    private boolean isWrong(String viewer, String name) {
        Held held = views.get(viewer).of.get(name);
        Set<String> runningGenerations = running.getOrDefault(name, Set.of());
        return runningGenerations.isEmpty()
                ? held != null && !away(held.state())
                : held == null || !held.state().equals("HERE") || !runningGenerations.contains(held.generation());
    }

    private void look(String viewer, String member) {
        Set<String> mistaken = wrong.computeIfAbsent(viewer, v -> new HashSet<>());
        if (isWrong(viewer, member) ? mistaken.add(member) : mistaken.remove(member)) {
            count(member, mistaken.contains(member) ? 1 : -1);
        }
    }

    private void count(String member, int more) {
        wrongs += more;
        wrongOf.merge(member, more, Integer::sum);
    }

    /** A process has come or gone: what all see of its name is looked at anew, and what it sees. */
    private void lookAtAll(String process) {
        Set<String> own = wrong.remove(process);
        if (own != null) {
            own.forEach(m -> count(m, -1));
        }
        if (up.contains(process)) {
            running.keySet().forEach(name -> look(process, name));
        }
        up.forEach(viewer -> look(viewer, names.get(process)));
    }

    @Override
    public Boolean holds(String condition, Set<String> members) {
        return switch (condition) {
            case "settled" -> wrongs == 0 && divided() == null;
            case "gone" ->
                up.stream()
                        .filter(v -> !members.contains(v))
                        .allMatch(v -> members.stream().allMatch(m -> {
                            Held held = held(v, m);
                            return held != null && away(held.state());
                        }));
            case "cut off" ->
                members.stream()
                        .allMatch(m -> up.stream().filter(v -> !v.equals(m)).allMatch(v -> {
                            Held held = held(v, m);
                            return held != null && held.state().equals("CUT_OFF");
                        }));
            case "replaced" ->
                up.stream()
                        .filter(v -> !members.contains(v))
                        .allMatch(v -> members.stream().allMatch(m -> {
                            Held held = held(v, m);
                            return held != null
                                    && held.state().equals("HERE")
                                    && !held.generation().equals(generations.get(m));
                        }));
            default -> null;
        };
    }

    private Held held(String viewer, String process) {
        return views.containsKey(viewer) ? views.get(viewer).of.get(names.getOrDefault(process, process)) : null;
    }

    @Override
    public List<Finding> findings(boolean atEnd) {
        List<Finding> all = new ArrayList<>(found);
        String disagreement = atEnd && !up.isEmpty() ? disagreement() : null;
        if (disagreement != null) {
            all.add(new Finding("members", last, "views never met: " + disagreement));
        }
        if (atEnd) {
            toldOf.forEach((name, told) -> told.stream()
                    .filter(l -> !begun.getOrDefault(name, Set.of()).contains(l))
                    .forEach(l -> all.add(new Finding(
                            "members",
                            last,
                            name + " was told of in life " + l + ", which no process of that name has had"))));
        }
        return all;
    }

    @Override
    public List<String> metrics() {
        return total().lines();
    }

    /** The figures of the run so far. */
    MembershipMetrics total() {
        MembershipMetrics all = new MembershipMetrics();
        all.add(metrics);
        all.rosters.recordValue(rosters.size());
        return all;
    }
}
