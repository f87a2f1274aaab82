package pepperdock.lab.fleet;

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

/**
 * Of membership. Always wrong: a change told twice or out of its order, or that does not begin where the last one ended; an
 * incarnation that goes back; more sent than the budget. At the end, or where {@code settled} is awaited: all that run see each
 * other here, under each one's newest life, and nobody else: so a refutation that is lost shows, and one dead or back from the
 * dead that is believed otherwise. Whether a running member may be called gone depends on the script: with the checker's strict
 * form it is a finding, else a figure.
 */
final class MembersChecker implements Checker {

    /** Counted at the relay, in spans of about a second; a span may hold a second's worth more that was saved up. */
    private static final double SAVED_S = 1.1;
    /** Changes told within this time are one change of the roster. */
    private static final double ONE_CHANGE_S = 0.005;

    private static final Hasher64 HASH = Hashing.xxh3_64();

    private record Held(String life, long incarnation, String standing) { }

    /** One process's view, as it told it. */
    private static final class Seen {
        private long number;
        private long roster;
        private double rosterAt;
        private final Map<String, Held> of = new TreeMap<>();
    }

    private final boolean strict;
    private final List<Finding> found = new ArrayList<>();
    private final Map<String, Seen> views = new TreeMap<>();
    /** Each member's newest life. */
    private final Map<String, String> lives = new TreeMap<>();
    private final Set<String> up = new HashSet<>();
    private final Map<String, Double> endedAt = new HashMap<>();
    private final Map<String, double[]> budgets = new HashMap<>();
    private final MemberFigures figures = new MemberFigures();
    /** Seen since the fleet was first together. */
    private final Set<Long> rosters = new HashSet<>();
    private boolean gathered;
    /** By viewer: whom it sees otherwise than it is. */
    private final Map<String, Set<String>> wrong = new TreeMap<>();
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
        figures.memberSeconds += (e.at() - at) * up.size();
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
                    up.remove(m);
                    lookAtAll(m);
                    endedAt.put(m, e.at());
                }
            }
            case "exit" -> {
                up.remove(e.text("member"));
                lookAtAll(e.text("member"));
                views.remove(e.text("member"));
            }
            case "reached" -> gathered = true;
            case "start", "stop", "cont", "fault on", "fault off", "reset" -> fault(e);
            case "traffic" -> {
                double[] budget = budgets.get(e.text("member"));
                if (budget != null) {
                    double span = e.number("over_s") + SAVED_S;
                    figures.datagrams.recordValue(Math.round(e.number("datagrams") / e.number("over_s")));
                    figures.bytes.recordValue(Math.round(e.number("bytes") / e.number("over_s")));
                    if (e.number("datagrams") > budget[0] * span || e.number("bytes") > budget[1] * span) {
                        found.add(new Finding("members", number, e.text("member") + " sent more than its budget"));
                    }
                }
            }
            default -> { }
        }
    }

    private void fault(Event e) {
        figures.faults++;
        faultAt = e.at();
        agreed = false;
    }

    private void member(long number, Event e) {
        switch (e.what()) {
            case "life" -> {
                views.put(e.who(), new Seen());
                lives.put(e.who(), e.text("life"));
                up.add(e.who());
                lookAtAll(e.who());
                budgets.put(e.who(), new double[] {e.number("datagrams_per_s"), e.number("bytes_per_s")});
            }
            case "refuted" -> figures.refuted++;
            case "change" -> change(number, e);
            default -> { }
        }
        if (!agreed && e.what().equals("change") && !Double.isNaN(faultAt) && wrongs == 0) {
            agreed = true;
            figures.agreement.recordValue(Math.round((e.at() - faultAt) * 1e3));
        }
    }

    private void change(long number, Event e) {
        Seen seen = views.computeIfAbsent(e.who(), w -> new Seen());
        String name = e.text("name");
        figures.changes++;
        if (e.whole("no") != seen.number + 1) {
            found.add(new Finding("members", number, e.who() + " told change " + e.whole("no") + " after " + seen.number));
        }
        seen.number = e.whole("no");
        Held before = seen.of.get(name);
        boolean gone = e.text("to").equals("GONE");
        if (before != null && !before.standing().equals(e.text("from")) || before == null && !e.text("from").isEmpty()) {
            found.add(new Finding("members", number, e.who() + " told a change of " + name + " from " + e.text("from")
                    + ", which it had told as " + (before == null ? "unknown" : before.standing())));
        }
        if (before != null && e.whole("incarnation") < before.incarnation()) {
            found.add(new Finding("members", number, e.who() + " saw the incarnation of " + name + " go back from "
                    + before.incarnation() + " to " + e.whole("incarnation")));
        }
        seen.of.put(name, new Held(e.text("life"), e.whole("incarnation"), e.text("to")));
        if (up.contains(e.who())) {
            look(e.who(), name);
        }
        if (gone && !e.text("why").startsWith("another life")) {
            if (up.contains(name) && e.text("life").equals(lives.get(name))) {
                figures.falseGone++;
                if (strict) {
                    found.add(new Finding("members", number, e.who() + " called " + name + " gone, which was running"));
                }
            } else if (endedAt.containsKey(name) && !up.contains(name)) {
                figures.noticed.recordValue(Math.round((e.at() - endedAt.get(name)) * 1e3));
            }
        }
        if (gathered && e.at() - seen.rosterAt > ONE_CHANGE_S) {
            rosters.add(seen.roster);
        }
        seen.roster ^= share(name, before) ^ share(name, seen.of.get(name));
        seen.rosterAt = e.at();
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
                return w.getKey() + " sees " + m + ' ' + (h == null ? "not at all" : h.standing().toLowerCase(Locale.ROOT)
                        + " in life " + h.life()) + ", and it is " + (up.contains(m) ? "running in life " + lives.get(m)
                        : "not running");
            }
        }
        return null;
    }

    private boolean isWrong(String viewer, String m) {
        Held h = views.get(viewer).of.get(m);
        return up.contains(m) ? h == null || !h.standing().equals("HERE") || !h.life().equals(lives.get(m))
                : h != null && !away(h.standing());
    }

    private void look(String viewer, String m) {
        Set<String> of = wrong.computeIfAbsent(viewer, v -> new HashSet<>());
        if (isWrong(viewer, m)) {
            wrongs += of.add(m) ? 1 : 0;
        } else {
            wrongs -= of.remove(m) ? 1 : 0;
        }
    }

    /** A member has come or gone: what all see of it is looked at anew, and what it sees. */
    private void lookAtAll(String m) {
        Set<String> own = wrong.remove(m);
        wrongs -= own == null ? 0 : own.size();
        if (up.contains(m)) {
            lives.keySet().forEach(other -> look(m, other));
        }
        up.forEach(viewer -> look(viewer, m));
    }

    @Override
    public Boolean holds(String condition, Set<String> members) {
        return switch (condition) {
            case "settled" -> wrongs == 0;
            case "gone" -> up.stream().filter(v -> !members.contains(v)).allMatch(v -> members.stream().allMatch(m -> {
                Held h = views.containsKey(v) ? views.get(v).of.get(m) : null;
                return h != null && away(h.standing());
            }));
            case "cut off" -> members.stream().allMatch(m -> up.stream().filter(v -> !v.equals(m)).allMatch(v -> {
                Held h = views.containsKey(v) ? views.get(v).of.get(m) : null;
                return h != null && h.standing().equals("CUT_OFF");
            }));
            default -> null;
        };
    }

    @Override
    public List<Finding> findings(boolean atEnd) {
        List<Finding> all = new ArrayList<>(found);
        String disagreement = atEnd && !up.isEmpty() ? disagreement() : null;
        if (disagreement != null) {
            all.add(new Finding("members", last, "views never met: " + disagreement));
        }
        return all;
    }

    @Override
    public List<String> figures() {
        return total().lines();
    }

    /** The figures of the run so far. */
    MemberFigures total() {
        MemberFigures all = new MemberFigures();
        all.add(figures);
        views.values().forEach(v -> rosters.add(v.roster));
        all.rosters.recordValue(rosters.size());
        return all;
    }
}
