package pepperdock.faultinjection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Checks a history of membership. Always a finding: a change published twice, out of order, or from a state other than
 * the last published one; an incarnation that decreases; more traffic than the budget. At the end, or where {@code
 * settled} is awaited, all running processes must see each other alive under their newest generations, and nobody else.
 * This detects a lost refutation, and a member that died or came back and is still believed to be in its former state.
 * If two processes have the same name, one of them must hold it, and the same one in all views.
 *
 * <p>Whether a running member may be declared faulty depends on the script. In the strict form of the checker it is a
 * finding. Otherwise it is counted by the faults that the member has been exposed to, and a finding only if these were
 * no more than membership promises to tolerate.
 */
final class MembersChecker implements Checker {

    /** Traffic is counted at the relay in spans of about a second; a span may hold one more second of unused budget. */
    private static final double BURST_ALLOWANCE_S = 1.1;

    private static final String CHECKER = "members";

    private final boolean strict;
    private final List<Finding> found = new ArrayList<>();
    private final MembershipViews views = new MembershipViews();
    /** By name: all generations that were started, and those that any view has published. */
    private final Map<String, Set<String>> started = new HashMap<>();

    private final Map<String, Set<String>> published = new HashMap<>();
    private final Map<String, FaultExposure> exposures = new HashMap<>();
    private final Map<String, Double> toleratedPauseS = new HashMap<>();
    private final Map<String, Double> endedAt = new HashMap<>();
    private final Map<String, double[]> budgets = new HashMap<>();
    private final MembershipMetrics metrics = new MembershipMetrics();
    /** Rosters seen since the fleet first agreed. */
    private final Set<Long> rosters = new HashSet<>();

    private boolean assembled;
    private long lastEventNumber;
    private double lastEventAt;
    private double lastFaultAt = Double.NaN;
    private boolean agreed;

    MembersChecker(boolean strict) {
        this.strict = strict;
    }

    @Override
    public void onEvent(long number, Event event) {
        lastEventNumber = number;
        metrics.memberSeconds += (event.at() - lastEventAt) * views.processesUp();
        lastEventAt = event.at();
        if (event.isRigEvent()) {
            onRigEvent(number, event);
        } else {
            onMemberEvent(number, event);
        }
    }

    private void addFinding(long number, String what) {
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
                assembled = true;
                rosters.addAll(views.rosters());
            }
            case "stop", "cont" -> onPause(event);
            case "fault on", "fault off" -> {
                onFault(event);
                onLinkFault((int) event.integer("number"), event);
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
        double span = event.number("over_s") + BURST_ALLOWANCE_S;
        metrics.datagrams.recordValue(Math.round(event.number("datagrams") / event.number("over_s")));
        long bytes = Math.round(event.number("bytes") / event.number("over_s"));
        metrics.bytes.recordValue(bytes);
        if (assembled) {
            metrics.bytesAfterAssembly.recordValue(bytes);
        }
        if (event.number("datagrams") > budget[0] * span || event.number("bytes") > budget[1] * span) {
            addFinding(number, event.text("member") + " sent more than its budget");
        }
    }

    private void onFault(Event event) {
        metrics.faults++;
        lastFaultAt = event.at();
        agreed = false;
    }

    private void onLinkFault(int number, Event event) {
        if (event.what().equals("fault off")) {
            exposures.values().forEach(exposure -> exposure.endFault(number));
            return;
        }
        LinkFaults.Kind kind = LinkFaults.Kind.valueOf(event.text("kind").toUpperCase(Locale.ROOT));
        Map<String, Set<LinkFaults.Pair>> pairsByProcess = new HashMap<>();
        for (LinkFaults.Pair pair : LinkFaults.parsePairs(event.text("links"))) {
            pairsByProcess.computeIfAbsent(pair.from(), key -> new HashSet<>()).add(pair);
            if (kind != LinkFaults.Kind.CUT) {
                pairsByProcess
                        .computeIfAbsent(pair.to(), key -> new HashSet<>())
                        .add(pair);
            }
        }
        pairsByProcess.forEach((process, pairs) -> exposure(process)
                .beginFault(process, number, new LinkFaults.Fault(kind, pairs, event.number("amount"), 0)));
    }

    /** Returns the exposure that new faults of this process add to: a new one if the process had fully recovered. */
    private FaultExposure exposure(String process) {
        FaultExposure exposure = exposures.get(process);
        if (exposure == null || exposure.isOver() && views.isUp(process) && views.isSeenByAll(process)) {
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
                if (assembled) {
                    rosters.add(views.viewOf(event.who()).roster());
                }
            }
            case "refuted" -> metrics.refutations++;
            case "change" -> {
                onChange(number, event);
                recordAgreement(event);
            }
            default -> {}
        }
    }

    private void recordAgreement(Event event) {
        if (!agreed && !Double.isNaN(lastFaultAt) && views.allAgree()) {
            agreed = true;
            metrics.agreementMs.recordValue(Math.round((event.at() - lastFaultAt) * 1e3));
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
        MembershipViews.MemberEntry entry =
                new MembershipViews.MemberEntry(event.text("life"), event.integer("incarnation"), event.text("to"));
        views.change(event.who(), name, entry);
        published.computeIfAbsent(name, key -> new HashSet<>()).add(entry.generation());
        if (entry.state().equals("GONE") && !event.text("why").startsWith("another life")) {
            onVerdict(number, event, name, entry.generation());
        }
    }

    /** Checks that a change continues the sequence of its view and the last state of its member. */
    private void checkSequence(long number, Event event) {
        String viewer = event.who();
        String name = event.text("name");
        MembershipViews.View view = views.viewOf(viewer);
        if (event.integer("no") != view.number() + 1) {
            addFinding(number, viewer + " published change " + event.integer("no") + " after " + view.number());
        }
        view.setNumber(event.integer("no"));
        MembershipViews.MemberEntry before = view.get(name);
        String from = event.text("from");
        if (!from.equals(before == null ? "" : before.state())) {
            addFinding(
                    number,
                    viewer + " published a change of " + name + " from " + from + ", which it had published as "
                            + (before == null ? "unknown" : before.state()));
        }
        if (before != null && event.integer("incarnation") < before.incarnation()) {
            addFinding(
                    number,
                    viewer + " saw the incarnation of " + name + " decrease from " + before.incarnation() + " to "
                            + event.integer("incarnation"));
        }
    }

    /** Records that a member was declared faulty: while it was running, or after its end. */
    private void onVerdict(long number, Event event, String name, String generation) {
        if (views.running(name).contains(generation)) {
            String process = views.processOf(generation);
            String cause = exposures
                    .getOrDefault(process, new FaultExposure())
                    .cause(event.at(), toleratedPauseS.get(process), views.processesEver() - 1);
            metrics.countFalseVerdict(cause);
            if (strict || cause.equals(FaultExposure.TOLERATED)) {
                addFinding(number, event.who() + " declared " + name + " faulty while it was running");
            }
        } else if (endedAt.containsKey(name) && views.running(name).isEmpty()) {
            metrics.detectionMs.recordValue(Math.round((event.at() - endedAt.get(name)) * 1e3));
        }
    }

    // ---- Results ------------------------------------------------------------

    @Override
    public Boolean holds(String condition, Set<String> members) {
        return switch (condition) {
            case "settled" -> views.allAgree();
            case "gone" -> views.areSeenGone(members);
            case "cut off" -> views.areSeenSuspect(members);
            case "replaced" -> views.areSeenReplaced(members);
            default -> null;
        };
    }

    @Override
    public List<Finding> findings(boolean atEnd) {
        List<Finding> all = new ArrayList<>(found);
        String disagreement = atEnd && views.processesUp() > 0 ? views.disagreement() : null;
        if (disagreement != null) {
            all.add(new Finding(CHECKER, lastEventNumber, "views did not converge: " + disagreement));
        }
        if (atEnd) {
            published.forEach((name, generations) -> generations.stream()
                    .filter(generation -> !started.getOrDefault(name, Set.of()).contains(generation))
                    .forEach(generation -> all.add(new Finding(
                            CHECKER,
                            lastEventNumber,
                            name + " was published with generation " + generation
                                    + ", which no process of that name has had"))));
        }
        return all;
    }

    @Override
    public List<String> metrics() {
        return total().lines();
    }

    /** Returns the metrics of the run so far. */
    MembershipMetrics total() {
        MembershipMetrics all = new MembershipMetrics();
        all.add(metrics);
        all.rosters.recordValue(rosters.size());
        return all;
    }
}
