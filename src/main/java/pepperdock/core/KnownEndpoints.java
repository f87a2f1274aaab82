package pepperdock.core;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import pepperdock.scheduler.Endpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;

/**
 * Holds the current endpoint list and the operators' bans. Reports each change to the backend, which keeps connections,
 * and to the scheduler. A banned endpoint is reported to the backend as draining, so that attempts in flight may still
 * be answered, and to the scheduler as removed, because the scheduler's record of the endpoint must not outlive the
 * ban. Owned by the gatherer's thread.
 */
final class KnownEndpoints {

    /**
     * Time for which ids that left the list are remembered, so that requests of operators that name them are
     * recognised: one hour.
     */
    private static final double DEPARTED_RETENTION_S = 3600;
    /** Maximum number of departed ids kept; needed because workers may get a new id at each start. */
    private static final int MAX_DEPARTED = 4096;

    private static final System.Logger LOG = System.getLogger("pepperdock.core");

    private final Clock clock;
    private final Backend backend;
    private final EventBatcher batcher;
    private final InternalFailures failures;
    private final LogRateLimiter stateLog;
    private final Map<String, WorkerEndpoint> listedEndpoints = new LinkedHashMap<>();
    private final Set<String> bannedEndpoints = new LinkedHashSet<>();
    /** Times at which ids left the list, in seconds on the clock, earliest first. */
    private final Map<String, Double> departedEndpoints = new LinkedHashMap<>();

    private Consumer<Collection<WorkerEndpoint>> listener = endpoints -> {};

    KnownEndpoints(Clock clock, Backend backend, EventBatcher batcher, InternalFailures failures) {
        this.failures = failures;
        this.clock = clock;
        this.backend = backend;
        this.batcher = batcher;
        stateLog = new LogRateLimiter(LOG, clock, "workers that stopped or resumed accepting work");
    }

    void addListener(Consumer<Collection<WorkerEndpoint>> added) {
        listener = listener.andThen(added);
    }

    /** Applies an endpoint list, changes to it, or a failed request for one. */
    void onEndpointList(EndpointListKind kind, List<WorkerEndpoint> entries) {
        Map<String, EndpointState> statesBefore = statesBefore(kind, entries);
        if (kind == EndpointListKind.CACHED || kind == EndpointListKind.COMPLETE) {
            listedEndpoints.keySet().forEach(this::rememberDeparted);
            listedEndpoints.clear();
        }
        entries.forEach(this::apply);
        forgetDeparted();
        if (kind != EndpointListKind.FAILED) {
            logStateChanges(statesBefore);
            // The scheduler has to receive the list whatever happens to the others that do.
            failures.run("the backend applied an endpoint list", this::updateBackend);
            if (kind != EndpointListKind.CACHED) {
                List<WorkerEndpoint> listed = List.copyOf(listedEndpoints.values());
                failures.run("a listener applied an endpoint list", () -> listener.accept(listed));
            }
        }
        List<Endpoint> endpoints = entries.stream().map(this::forScheduler).toList();
        batcher.enqueueEvent(scheduler -> scheduler.onEndpointList(kind, endpoints));
    }

    /** Returns the states of the listed endpoints that a list may change. */
    private Map<String, EndpointState> statesBefore(EndpointListKind kind, List<WorkerEndpoint> entries) {
        Map<String, EndpointState> states = new HashMap<>();
        if (kind == EndpointListKind.CACHED || kind == EndpointListKind.COMPLETE) {
            listedEndpoints.forEach((id, entry) -> states.put(id, entry.state()));
        }
        for (WorkerEndpoint entry : entries) {
            WorkerEndpoint listed = listedEndpoints.get(entry.id());
            if (listed != null) {
                states.put(entry.id(), listed.state());
            }
        }
        return states;
    }

    /** Logs the workers that were listed before and stop or resume accepting work with the new list. */
    private void logStateChanges(Map<String, EndpointState> statesBefore) {
        statesBefore.forEach((id, before) -> {
            WorkerEndpoint entry = listedEndpoints.get(id);
            EndpointState now = entry == null ? EndpointState.REMOVED : entry.state();
            if (now != before) {
                stateLog.log(
                        System.Logger.Level.INFO,
                        () -> "worker " + id + " is now " + now.name().toLowerCase(Locale.ROOT) + ", before "
                                + before.name().toLowerCase(Locale.ROOT));
            }
        });
    }

    private void apply(WorkerEndpoint entry) {
        if (entry.state() != EndpointState.REMOVED) {
            listedEndpoints.put(entry.id(), entry);
            departedEndpoints.remove(entry.id());
        } else if (listedEndpoints.remove(entry.id()) != null) {
            rememberDeparted(entry.id());
        }
    }

    /** Records the departure of an id and moves it to the end, which keeps the map in the order of departure. */
    private void rememberDeparted(String id) {
        departedEndpoints.remove(id);
        departedEndpoints.put(id, clock.now());
    }

    private void forgetDeparted() {
        Iterator<Double> departures = departedEndpoints.values().iterator();
        while (departures.hasNext()
                && (departures.next() < clock.now() - DEPARTED_RETENTION_S
                        || departedEndpoints.size() > MAX_DEPARTED)) {
            departures.remove();
        }
    }

    private Endpoint forScheduler(WorkerEndpoint entry) {
        return new Endpoint(
                entry.id(),
                entry.zone(),
                entry.kind(),
                entry.cell(),
                bannedEndpoints.contains(entry.id()) ? EndpointState.REMOVED : entry.state(),
                entry.weight(),
                entry.startedAtS());
    }

    private void updateBackend() {
        Map<String, WorkerEndpoint> endpoints = new HashMap<>();
        listedEndpoints.forEach(
                (id, entry) -> endpoints.put(id, bannedEndpoints.contains(id) ? draining(entry) : entry));
        backend.updateEndpoints(Map.copyOf(endpoints));
    }

    private static WorkerEndpoint draining(WorkerEndpoint entry) {
        return new WorkerEndpoint(
                entry.id(),
                entry.address(),
                entry.zone(),
                entry.kind(),
                entry.cell(),
                EndpointState.DRAINING,
                entry.weight(),
                entry.startedAtS());
    }

    /** Returns whether attempts may be sent to an endpoint, which has to be listed, healthy and not banned. */
    boolean acceptsAttempts(String id) {
        WorkerEndpoint entry = listedEndpoints.get(id);
        return entry != null && entry.state() == EndpointState.HEALTHY && !bannedEndpoints.contains(id);
    }

    /** Returns whether an id is listed, is banned, or has left the list within the last hour. */
    boolean isKnown(String id) {
        return listedEndpoints.containsKey(id) || departedEndpoints.containsKey(id) || bannedEndpoints.contains(id);
    }

    /** Returns a read-only view of the banned ids. */
    Set<String> bannedEndpoints() {
        return Collections.unmodifiableSet(bannedEndpoints);
    }

    /** Replaces the set of banned ids. */
    void setBannedEndpoints(Set<String> ids) {
        if (!bannedEndpoints.equals(ids)) {
            bannedEndpoints.clear();
            bannedEndpoints.addAll(ids);
            failures.run("the backend applied a change of the bans", this::updateBackend);
            // Reported as cached, because no list has arrived from discovery and the state of its watch is unchanged.
            List<Endpoint> endpoints =
                    listedEndpoints.values().stream().map(this::forScheduler).toList();
            batcher.enqueueEvent(scheduler -> scheduler.onEndpointList(EndpointListKind.CACHED, endpoints));
        }
    }

    int listedCount() {
        return listedEndpoints.size();
    }

    /**
     * Returns the number of listed endpoints that receive no queries now, because they are banned or the scheduler
     * avoids them.
     */
    int avoidedCount(Predicate<String> avoidedByScheduler) {
        return (int) listedEndpoints.keySet().stream()
                .filter(id -> bannedEndpoints.contains(id) || avoidedByScheduler.test(id))
                .count();
    }
}
