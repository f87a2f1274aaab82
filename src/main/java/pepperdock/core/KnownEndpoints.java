package pepperdock.core;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import pepperdock.scheduler.Endpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;

/**
 * The endpoint list in force and the operators' bans. Reports each change to the backend, which keeps connections, and to the
 * scheduler. A banned endpoint is draining to the backend, so that what is in flight may still be answered, and removed to
 * the scheduler, whose record of it must not outlive the ban. Owned by the gatherer's thread.
 */
final class KnownEndpoints {

    /** Ids that left the list are remembered for an hour, so that operators' calls that name them are recognised. */
    private static final double DEPARTED_RETENTION_S = 3600;
    /** Bounds the departed ids, as workers may get a new id at each start. */
    private static final int MAX_DEPARTED = 4096;

    private final Clock clock;
    private final Backend backend;
    private final EventBatcher batcher;
    private final Map<String, WorkerEndpoint> hosts = new LinkedHashMap<>();
    private final Set<String> bannedEndpoints = new LinkedHashSet<>();
    /** When ids left the list, the earliest first, in seconds on the clock. */
    private final Map<String, Double> departedEndpoints = new LinkedHashMap<>();

    private Consumer<Collection<WorkerEndpoint>> listener = endpoints -> {};

    KnownEndpoints(Clock clock, Backend backend, EventBatcher batcher) {
        this.clock = clock;
        this.backend = backend;
        this.batcher = batcher;
    }

    void addListener(Consumer<Collection<WorkerEndpoint>> another) {
        listener = listener.andThen(another);
    }

    /** Applies a list, changes of it, or the failure of a call for one. */
    void onEndpointList(EndpointListKind kind, List<WorkerEndpoint> entries) {
        if (kind == EndpointListKind.CACHED || kind == EndpointListKind.COMPLETE) {
            hosts.keySet().forEach(this::rememberDeparted);
            hosts.clear();
        }
        entries.forEach(this::apply);
        forgetDeparted();
        if (kind != EndpointListKind.FAILED) {
            updateBackend();
            if (kind != EndpointListKind.CACHED) {
                listener.accept(List.copyOf(hosts.values()));
            }
        }
        List<Endpoint> endpoints = entries.stream().map(this::forScheduler).toList();
        batcher.enqueueEvent(scheduler -> scheduler.onEndpointList(kind, endpoints));
    }

    private void apply(WorkerEndpoint entry) {
        if (entry.state() != EndpointState.REMOVED) {
            hosts.put(entry.id(), entry);
            departedEndpoints.remove(entry.id());
        } else if (hosts.remove(entry.id()) != null) {
            rememberDeparted(entry.id());
        }
    }

    /** Puts the id last, in the order of departure. */
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
        hosts.forEach((id, entry) -> endpoints.put(id, bannedEndpoints.contains(id) ? draining(entry) : entry));
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

    /** Whether an attempt may be sent to an endpoint: it is listed, healthy and not banned. */
    boolean acceptsAttempts(String id) {
        WorkerEndpoint entry = hosts.get(id);
        return entry != null && entry.state() == EndpointState.HEALTHY && !bannedEndpoints.contains(id);
    }

    /** Whether an id is listed, banned, or has left the list within the last hour. */
    boolean isKnown(String id) {
        return hosts.containsKey(id) || departedEndpoints.containsKey(id) || bannedEndpoints.contains(id);
    }

    /** A view of the banned ids. */
    Set<String> bannedEndpoints() {
        return Collections.unmodifiableSet(bannedEndpoints);
    }

    /** Bans exactly these ids. */
    void setBannedEndpoints(Set<String> ids) {
        if (!bannedEndpoints.equals(ids)) {
            bannedEndpoints.clear();
            bannedEndpoints.addAll(ids);
            updateBackend();
            // Reported as cached: no list has come from discovery, so whether its watch works is as before.
            List<Endpoint> endpoints =
                    hosts.values().stream().map(this::forScheduler).toList();
            batcher.enqueueEvent(scheduler -> scheduler.onEndpointList(EndpointListKind.CACHED, endpoints));
        }
    }

    int listedCount() {
        return hosts.size();
    }

    /** Listed endpoints that receive nothing now: banned, or avoided by the scheduler. */
    int avoidedCount(Predicate<String> avoidedByScheduler) {
        return (int) hosts.keySet().stream()
                .filter(id -> bannedEndpoints.contains(id) || avoidedByScheduler.test(id))
                .count();
    }
}
