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

    private record Held(String life, long incarnation, String standing) {}

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

    private final Map<String, String> lives = new TreeMap<>();
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
    public void see(long number, Event e) {
        last = number;
        metrics.memberSeconds += (e.at() - at) * up.size();
        at = e.at();
        if (e.ofRig()) {
            rig(number, e);
        } else {
            member(number, e);
        }
    }

    private void rig(long number, Event e) {
        switch (e.what()) {
            case "kill", "term" -> {
                fault(e);
                for (String m : e.members()) {
                    down(m);
                    endedAt.put(names.getOrDefault(m, m), e.at());
                    if (exposures.containsKey(m)) {
                        exposures.get(m).ended();
                    }
                }
            }
            case "exit" -> {
                down(e.text("member"));
                views.remove(e.text("member"));
            }
            case "reached" -> {
                gathered = true;
                views.values().forEach(v -> rosters.add(v.roster));
            }
            case "stop", "cont" -> {
                fault(e);
                for (String m : e.members()) {
                    if (e.what().equals("cont")) {
                        exposure(m).continued(e.at());
                    } else {
                        exposure(m).stopped(e.at());
                    }
                }
            }
            case "fault on", "fault off" -> {
                fault(e);
                fault((int) e.whole("number"), e);
            }
            case "start", "reset", "clock" -> fault(e);
            case "traffic" -> {
                double[] budget = budgets.get(e.text("member"));
                if (budget != null) {
                    double span = e.number("over_s") + SAVED_S;
                    metrics.datagrams.recordValue(Math.round(e.number("datagrams") / e.number("over_s")));
                    long bytes = Math.round(e.number("bytes") / e.number("over_s"));
                    metrics.bytes.recordValue(bytes);
                    if (gathered) {
                        metrics.bytesTogether.recordValue(bytes);
                    }
                    if (e.number("datagrams") > budget[0] * span || e.number("bytes") > budget[1] * span) {
                        found.add(new Finding("members", number, e.text("member") + " sent more than its budget"));
                    }
                }
            }
            default -> {}
        }
    }

    private void fault(Event e) {
        metrics.faults++;
        faultAt = e.at();
        agreed = false;
    }

    private void fault(int number, Event e) {
        if (e.what().equals("fault off")) {
            exposures.values().forEach(h -> h.off(number));
            return;
        }
        LinkFaults.Kind kind = LinkFaults.Kind.valueOf(e.text("kind").toUpperCase(Locale.ROOT));
        Map<String, Set<LinkFaults.Pair>> touched = new HashMap<>();
        for (LinkFaults.Pair p : LinkFaults.pairs(e.text("links"))) {
            touched.computeIfAbsent(p.from(), x -> new HashSet<>()).add(p);
            if (kind != LinkFaults.Kind.CUT) {
                touched.computeIfAbsent(p.to(), x -> new HashSet<>()).add(p);
            }
        }
        touched.forEach((who, pairs) ->
                exposure(who).on(who, number, new LinkFaults.Fault(kind, pairs, e.number("amount"), 0)));
    }

    /** What befalls this process adds to what came before, unless all was well again with it. */
    private FaultExposure exposure(String who) {
        FaultExposure h = exposures.get(who);
        if (h == null || h.over() && up.contains(who) && wrongOf.getOrDefault(names.get(who), 0) == 0) {
            h = new FaultExposure();
            exposures.put(who, h);
        }
        return h;
    }

    private void down(String process) {
        if (up.remove(process)) {
            running.get(names.get(process)).remove(lives.get(process));
            lookAtAll(process);
        }
    }

    private void member(long number, Event e) {
        switch (e.what()) {
            case "life" -> {
                down(e.who());
                views.put(e.who(), new Seen());
                names.put(e.who(), e.text("name"));
                lives.put(e.who(), e.text("life"));
                borneS.put(e.who(), e.number("bears_s"));
                running.computeIfAbsent(e.text("name"), n -> new HashSet<>()).add(e.text("life"));
                begun.computeIfAbsent(e.text("name"), n -> new HashSet<>()).add(e.text("life"));
                up.add(e.who());
                lookAtAll(e.who());
                budgets.put(e.who(), new double[] {e.number("datagrams_per_s"), e.number("bytes_per_s")});
            }
            case "told" -> {
                if (gathered) {
                    rosters.add(views.get(e.who()).roster);
                }
            }
            case "refuted" -> metrics.refuted++;
            case "change" -> change(number, e);
            default -> {}
        }
        if (!agreed && e.what().equals("change") && !Double.isNaN(faultAt) && wrongs == 0 && divided() == null) {
            agreed = true;
            metrics.agreement.recordValue(Math.round((e.at() - faultAt) * 1e3));
        }
    }

    private void change(long number, Event e) {
        Seen seen = views.computeIfAbsent(e.who(), w -> new Seen());
        String name = e.text("name");
        metrics.changes++;
        if (e.whole("no") != seen.number + 1) {
            found.add(new Finding(
                    "members", number, e.who() + " told change " + e.whole("no") + " after " + seen.number));
        }
        seen.number = e.whole("no");
        Held before = seen.of.get(name);
        boolean gone = e.text("to").equals("GONE");
        if (before != null && !before.standing().equals(e.text("from"))
                || before == null && !e.text("from").isEmpty()) {
            found.add(new Finding(
                    "members",
                    number,
                    e.who() + " told a change of " + name + " from " + e.text("from") + ", which it had told as "
                            + (before == null ? "unknown" : before.standing())));
        }
        if (before != null && e.whole("incarnation") < before.incarnation()) {
            found.add(new Finding(
                    "members",
                    number,
                    e.who() + " saw the incarnation of " + name + " go back from " + before.incarnation() + " to "
                            + e.whole("incarnation")));
        }
        seen.of.put(name, new Held(e.text("life"), e.whole("incarnation"), e.text("to")));
        toldOf.computeIfAbsent(name, n -> new HashSet<>()).add(e.text("life"));
        if (up.contains(e.who())) {
            look(e.who(), name);
        }
        if (gone && !e.text("why").startsWith("another life")) {
            if (running.getOrDefault(name, Set.of()).contains(e.text("life"))) {
                String process = up.stream()
                        .filter(p -> e.text("life").equals(lives.get(p)))
                        .findFirst()
                        .orElseThrow();
                String why = exposures
                        .getOrDefault(process, new FaultExposure())
                        .why(e.at(), borneS.get(process), names.size() - 1);
                metrics.falseGone(why);
                if (strict || why.equals(FaultExposure.BORNE)) {
                    found.add(new Finding("members", number, e.who() + " called " + name + " gone, which was running"));
                }
            } else if (endedAt.containsKey(name)
                    && running.getOrDefault(name, Set.of()).isEmpty()) {
                metrics.noticed.recordValue(Math.round((e.at() - endedAt.get(name)) * 1e3));
            }
        }
        seen.roster ^= share(name, before) ^ share(name, seen.of.get(name));
    }

    /** A member's share of a roster's sum: rosters are told apart by the sums of those in them. */
    private static long share(String name, Held h) {
        return h == null || away(h.standing()) ? 0 : HASH.hashCharsToLong(name + '/' + h.life());
    }

    private static boolean away(String standing) {
        return standing.equals("GONE") || standing.equals("LEFT");
    }

    /** What keeps the views from being one and true; null where nothing does. */
    private String disagreement() {
        for (Map.Entry<String, Set<String>> w : wrong.entrySet()) {
            if (!w.getValue().isEmpty()) {
                String m = w.getValue().iterator().next();
                Held h = views.get(w.getKey()).of.get(m);
                Set<String> of = running.getOrDefault(m, Set.of());
                return w.getKey() + " sees " + m + ' '
                        + (h == null ? "not at all" : h.standing().toLowerCase(Locale.ROOT) + " in life " + h.life())
                        + ", and it is "
                        + (of.isEmpty() ? "not running" : "running in life " + String.join(" and ", of));
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
                                ? views.get(v).of.get(r.getKey()).life()
                                : ""));
                if (held.size() > 1) {
                    return r.getKey() + " is one process in some views and another in others: lives " + held;
                }
            }
        }
        return null;
    }

    private boolean isWrong(String viewer, String name) {
        Held h = views.get(viewer).of.get(name);
        Set<String> of = running.getOrDefault(name, Set.of());
        return of.isEmpty()
                ? h != null && !away(h.standing())
                : h == null || !h.standing().equals("HERE") || !of.contains(h.life());
    }

    private void look(String viewer, String m) {
        Set<String> of = wrong.computeIfAbsent(viewer, v -> new HashSet<>());
        if (isWrong(viewer, m) ? of.add(m) : of.remove(m)) {
            count(m, of.contains(m) ? 1 : -1);
        }
    }

    private void count(String m, int more) {
        wrongs += more;
        wrongOf.merge(m, more, Integer::sum);
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
                            Held h = held(v, m);
                            return h != null && away(h.standing());
                        }));
            case "cut off" ->
                members.stream()
                        .allMatch(m -> up.stream().filter(v -> !v.equals(m)).allMatch(v -> {
                            Held h = held(v, m);
                            return h != null && h.standing().equals("CUT_OFF");
                        }));
            case "replaced" ->
                up.stream()
                        .filter(v -> !members.contains(v))
                        .allMatch(v -> members.stream().allMatch(m -> {
                            Held h = held(v, m);
                            return h != null
                                    && h.standing().equals("HERE")
                                    && !h.life().equals(lives.get(m));
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
