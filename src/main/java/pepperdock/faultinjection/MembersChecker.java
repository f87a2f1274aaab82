package pepperdock.faultinjection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Checks a history of membership. Always a finding: a change published twice or out of its order, or that does not begin where
 * the last one ended; an incarnation that goes back; more sent than the budget. At the end, or where {@code settled} is awaited:
 * all that run see each other alive, under each one's newest generation, and nobody else: so a refutation that is lost shows, and
 * a member that died or came back and is believed otherwise. Two processes may have one name: then one of them has to have it
 * in all views, the same in each.
 *
 * <p>Whether a running member may be declared faulty depends on the script. In the strict form of the checker it is a finding.
 * Otherwise it is counted by what had befallen the member until then, and a finding only where that was nothing beyond what is
 * promised to be tolerated.
 */
final class MembersChecker implements Checker {

    /** Counted at the relay, in spans of about a second; a span may hold a second's worth more that was saved up. */
    private static final double SAVED_S = 1.1;

    private static final String CHECKER = "members";

    private final boolean strict;
    private final List<Finding> found = new ArrayList<>();
    private final MembershipViews views = new MembershipViews();
    /** By name: all generations ever started, and those that any view has had. */
    private final Map<String, Set<String>> started = new HashMap<>();

    private final Map<String, Set<String>> published = new HashMap<>();
    private final Map<String, FaultExposure> exposures = new HashMap<>();
    private final Map<String, Double> toleratedPauseS = new HashMap<>();
    private final Map<String, Double> endedAt = new HashMap<>();
    private final Map<String, double[]> budgets = new HashMap<>();
    private final MembershipMetrics metrics = new MembershipMetrics();
    /** Seen since the fleet was first together. */
    private final Set<Long> rosters = new HashSet<>();

    private boolean gathered;
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
        metrics.memberSeconds += (event.at() - at) * views.processesUp();
        at = event.at();
        if (event.ofRig()) {
            onRigEvent(number, event);
        } else {
            onMemberEvent(number, event);
        }
    }

    private void find(long number, String what) {
        found.add(new Finding(CHECKER, number, what));
    }

    // ---- Events of the rig ------------------------------------------------------------

    private void onRigEvent(long number, Event event) {
        switch (event.what()) {
            case "kill", "term" -> onKill(event);
            case "exit" -> {
                views.ended(event.text("member"));
                views.forget(event.text("member"));
            }
            case "reached" -> {
                gathered = true;
                rosters.addAll(views.rosters());
            }
            case "stop", "cont" -> onPause(event);
            case "fault on", "fault off" -> {
                onFault(event);
                onLinkFault((int) event.whole("number"), event);
            }
            case "start", "reset", "clock" -> onFault(event);
            case "traffic" -> onTraffic(number, event);
            default -> {}
        }
    }

    private void onKill(Event event) {
        onFault(event);
        for (String process : event.members()) {
            views.ended(process);
            endedAt.put(views.nameOf(process), event.at());
            if (exposures.containsKey(process)) {
                exposures.get(process).ended();
            }
        }
    }

    private void onPause(Event event) {
        onFault(event);
        for (String process : event.members()) {
            if (event.what().equals("cont")) {
                exposure(process).continued(event.at());
            } else {
                exposure(process).stopped(event.at());
            }
        }
    }

    private void onTraffic(long number, Event event) {
        double[] budget = budgets.get(event.text("member"));
        if (budget == null) {
            return;
        }
        double span = event.number("over_s") + SAVED_S;
        metrics.datagrams.recordValue(Math.round(event.number("datagrams") / event.number("over_s")));
        long bytes = Math.round(event.number("bytes") / event.number("over_s"));
        metrics.bytes.recordValue(bytes);
        if (gathered) {
            metrics.bytesTogether.recordValue(bytes);
        }
        if (event.number("datagrams") > budget[0] * span || event.number("bytes") > budget[1] * span) {
            find(number, event.text("member") + " sent more than its budget");
        }
    }

    private void onFault(Event event) {
        metrics.faults++;
        faultAt = event.at();
        agreed = false;
    }

    private void onLinkFault(int number, Event event) {
        if (event.what().equals("fault off")) {
            exposures.values().forEach(exposure -> exposure.off(number));
            return;
        }
        LinkFaults.Kind kind = LinkFaults.Kind.valueOf(event.text("kind").toUpperCase(Locale.ROOT));
        Map<String, Set<LinkFaults.Pair>> touched = new HashMap<>();
        for (LinkFaults.Pair pair : LinkFaults.pairs(event.text("links"))) {
            touched.computeIfAbsent(pair.from(), key -> new HashSet<>()).add(pair);
            if (kind != LinkFaults.Kind.CUT) {
                touched.computeIfAbsent(pair.to(), key -> new HashSet<>()).add(pair);
            }
        }
        touched.forEach((process, pairs) ->
                exposure(process).on(process, number, new LinkFaults.Fault(kind, pairs, event.number("amount"), 0)));
    }

    /** What befalls this process adds to what came before, unless all was well again with it. */
    private FaultExposure exposure(String process) {
        FaultExposure exposure = exposures.get(process);
        if (exposure == null || exposure.over() && views.isUp(process) && views.isSeenByAll(process)) {
            exposure = new FaultExposure();
            exposures.put(process, exposure);
        }
        return exposure;
    }

    // ---- Events of members ------------------------------------------------------------

    private void onMemberEvent(long number, Event event) {
        switch (event.what()) {
            case "life" -> onStart(event);
            case "told" -> {
                if (gathered) {
                    rosters.add(views.viewOf(event.who()).roster());
                }
            }
            case "refuted" -> metrics.refutations++;
            case "change" -> {
                onChange(number, event);
                noteAgreement(event);
            }
            default -> {}
        }
    }

    private void noteAgreement(Event event) {
        if (!agreed && !Double.isNaN(faultAt) && views.agree()) {
            agreed = true;
            metrics.agreementMs.recordValue(Math.round((event.at() - faultAt) * 1e3));
        }
    }

    private void onStart(Event event) {
        String name = event.text("name");
        views.started(event.who(), name, event.text("life"));
        toleratedPauseS.put(event.who(), event.number("bears_s"));
        started.computeIfAbsent(name, key -> new HashSet<>()).add(event.text("life"));
        budgets.put(event.who(), new double[] {event.number("datagrams_per_s"), event.number("bytes_per_s")});
    }

    private void onChange(long number, Event event) {
        String name = event.text("name");
        metrics.changes++;
        checkSequence(number, event);
        MembershipViews.Held held =
                new MembershipViews.Held(event.text("life"), event.whole("incarnation"), event.text("to"));
        views.change(event.who(), name, held);
        published.computeIfAbsent(name, key -> new HashSet<>()).add(held.generation());
        if (held.state().equals("GONE") && !event.text("why").startsWith("another life")) {
            onVerdict(number, event, name, held.generation());
        }
    }

    /** Whether a change follows the one before it, of that view and of that member. */
    private void checkSequence(long number, Event event) {
        String viewer = event.who();
        String name = event.text("name");
        MembershipViews.View view = views.viewOf(viewer);
        if (event.whole("no") != view.number() + 1) {
            find(number, viewer + " told change " + event.whole("no") + " after " + view.number());
        }
        view.setNumber(event.whole("no"));
        MembershipViews.Held before = view.get(name);
        String from = event.text("from");
        if (!from.equals(before == null ? "" : before.state())) {
            find(
                    number,
                    viewer + " told a change of " + name + " from " + from + ", which it had told as "
                            + (before == null ? "unknown" : before.state()));
        }
        if (before != null && event.whole("incarnation") < before.incarnation()) {
            find(
                    number,
                    viewer + " saw the incarnation of " + name + " go back from " + before.incarnation() + " to "
                            + event.whole("incarnation"));
        }
    }

    /** A member was declared faulty: falsely, or after its death. */
    private void onVerdict(long number, Event event, String name, String generation) {
        if (views.running(name).contains(generation)) {
            String process = views.processOf(generation);
            String why = exposures
                    .getOrDefault(process, new FaultExposure())
                    .why(event.at(), toleratedPauseS.get(process), views.processesEver() - 1);
            metrics.falseVerdicts(why);
            if (strict || why.equals(FaultExposure.BORNE)) {
                find(number, event.who() + " called " + name + " gone, which was running");
            }
        } else if (endedAt.containsKey(name) && views.running(name).isEmpty()) {
            metrics.detectionMs.recordValue(Math.round((event.at() - endedAt.get(name)) * 1e3));
        }
    }

    // ---- Results ------------------------------------------------------------

    @Override
    public Boolean holds(String condition, Set<String> members) {
        return switch (condition) {
            case "settled" -> views.agree();
            case "gone" -> views.seenAway(members);
            case "cut off" -> views.seenSuspect(members);
            case "replaced" -> views.seenReplaced(members);
            default -> null;
        };
    }

    @Override
    public List<Finding> findings(boolean atEnd) {
        List<Finding> all = new ArrayList<>(found);
        String disagreement = atEnd && views.processesUp() > 0 ? views.disagreement() : null;
        if (disagreement != null) {
            all.add(new Finding(CHECKER, last, "views never met: " + disagreement));
        }
        if (atEnd) {
            published.forEach((name, generations) -> generations.stream()
                    .filter(generation -> !started.getOrDefault(name, Set.of()).contains(generation))
                    .forEach(generation -> all.add(new Finding(
                            CHECKER,
                            last,
                            name + " was told of in life " + generation + ", which no process of that name has had"))));
        }
        return all;
    }

    @Override
    public List<String> metrics() {
        return total().lines();
    }

    /** The metrics of the run so far. */
    MembershipMetrics total() {
        MembershipMetrics all = new MembershipMetrics();
        all.add(metrics);
        all.rosters.recordValue(rosters.size());
        return all;
    }
}
