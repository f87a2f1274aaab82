package pepperdock.faultinjection.upgrade;

import java.util.ArrayList;
import java.util.List;

/** Holds the history of a run against the rules of the protocol page and of the page for daily service. */
final class UpgradeChecker {

    /** New work may be sent to a server for this long after the gatherer was told that it drains. */
    private static final double DRAIN_GRACE_S = 0.5;
    /** Every time limit is longer by this on sockets. */
    private static final double SOCKET_SLACK_S = 0.05;
    /** News from discovery counts as told this long after a new process says that it is ready. */
    static final double TOLD_AFTER_READY_S = 2;

    private static final double READY_WITHIN_S = 6;

    private static final String DRAINING = "terminating";

    private final UpgradeHistory history;
    private final List<String> findings = new ArrayList<>();

    private UpgradeChecker(UpgradeHistory history) {
        this.history = history;
    }

    /** Returns what breaks a rule, a line each; nothing if all rules hold. */
    static List<String> check(UpgradeHistory history) {
        UpgradeChecker checker = new UpgradeChecker(history);
        checker.checkDrains();
        checker.findings.addAll(RequestChecker.check(history.requests, history.sends, history.kills, history::time));
        checker.checkStarts();
        return checker.findings;
    }

    private void checkDrains() {
        for (DiscoveryStub.Change change : history.changes) {
            if (!change.health().equals(DRAINING) || Double.isNaN(change.writtenAtS())) {
                continue;
            }
            double untilS = inServiceAgainAtS(change);
            for (WorkerStub.Send send : List.copyOf(history.sends)) {
                double latestS = toldAtS(change, send.atS()) + DRAIN_GRACE_S + SOCKET_SLACK_S;
                if (send.worker().equals(change.worker()) && send.atS() > latestS && send.atS() < untilS) {
                    findings.add("drain: query " + send.queryId() + " sent to " + send.worker() + " at "
                            + history.time(send.atS()) + ", version " + change.version() + " written at "
                            + history.time(change.writtenAtS()) + ", too late from " + history.time(latestS));
                }
            }
        }
    }

    private double inServiceAgainAtS(DiscoveryStub.Change drained) {
        return history.changes.stream()
                .filter(change -> change.worker().equals(drained.worker()) && change.version() > drained.version())
                .mapToDouble(DiscoveryStub.Change::madeAtS)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /**
     * Returns when the gatherer counts as told of a change, for a send at {@code sendAtS}: when it is written to either
     * process, but for a new process no earlier than some time after it is ready.
     */
    private double toldAtS(DiscoveryStub.Change change, double sendAtS) {
        double toldAtS = change.writtenAtS();
        for (UpgradeHistory.Start start : List.copyOf(history.starts)) {
            boolean mayHaveSent = !Double.isNaN(start.readyAtS()) && start.startedAtS() <= sendAtS;
            if (mayHaveSent) {
                toldAtS = Math.max(toldAtS, start.readyAtS() + TOLD_AFTER_READY_S);
            }
        }
        return toldAtS;
    }

    private void checkStarts() {
        for (UpgradeHistory.Start start : List.copyOf(history.starts)) {
            double tookS = start.readyAtS() - start.startedAtS();
            if (Double.isNaN(tookS) || tookS > READY_WITHIN_S) {
                findings.add("start: " + start.name() + " was ready after " + tookS + " s");
            }
        }
    }
}
