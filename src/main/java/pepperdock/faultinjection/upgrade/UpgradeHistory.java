package pepperdock.faultinjection.upgrade;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** What happened in a run, for {@link UpgradeChecker}. Lists are thread-safe; times are by {@link MonotonicClock}. */
final class UpgradeHistory {

    /**
     * A process that was started beside or after another.
     *
     * @param readyAtS when it first said that it is ready; NaN if it never did
     */
    record Start(String name, double startedAtS, double readyAtS) {}

    final List<WorkerStub.Send> sends = Collections.synchronizedList(new ArrayList<>());
    final List<ClientStub.Request> requests = Collections.synchronizedList(new ArrayList<>());
    final List<Start> starts = Collections.synchronizedList(new ArrayList<>());
    /** When a fault killed a process; requests that it had are not counted as lost. */
    final List<Double> kills = Collections.synchronizedList(new ArrayList<>());

    final List<String> events = Collections.synchronizedList(new ArrayList<>());
    final double beganAtS = MonotonicClock.now();
    List<DiscoveryStub.Change> changes = List.of();

    void addEvent(String event) {
        events.add(time(MonotonicClock.now()) + ' ' + event);
    }

    /** Returns a time as seconds since the begin of the run. */
    String time(double atS) {
        return String.format(java.util.Locale.ROOT, "%.3f", atS - beganAtS);
    }
}
