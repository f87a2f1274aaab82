package pepperdock.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the listed endpoints and finds the replicas of a shard. It iterates in the order in which endpoints were first
 * listed.
 */
final class EndpointRegistry {

    private final SchedulerContext context;
    private final SlowStart slowStart;
    private final Map<String, EndpointRecord> endpoints = new LinkedHashMap<>();
    private final List<List<EndpointRecord>> usableByCell = new ArrayList<>();

    EndpointRegistry(SchedulerContext context, SlowStart slowStart) {
        this.context = context;
        this.slowStart = slowStart;
        for (int cell = 0; cell < context.settings().layout().cells(); cell++) {
            usableByCell.add(new ArrayList<>());
        }
    }

    /** Applies a complete list, or changes of it. */
    void update(boolean changesOnly, List<Endpoint> entries) {
        if (!changesOnly) {
            endpoints.values().forEach(endpoint -> {
                endpoint.usable = false;
                endpoint.listed = false;
            });
        }
        for (Endpoint entry : entries) {
            update(entry);
        }
        // A removed endpoint comes back under a new id, so keeping its record would only use memory.
        endpoints.values().removeIf(endpoint -> !endpoint.listed && endpoint.outstanding.isEmpty());
        usableByCell.forEach(List::clear);
        for (EndpointRecord endpoint : endpoints.values()) {
            if (endpoint.usable) {
                usableByCell.get(endpoint.cell).add(endpoint);
            }
        }
    }

    private void update(Endpoint entry) {
        EndpointRecord endpoint = endpoints.computeIfAbsent(entry.id(), EndpointRecord::new);
        endpoint.usable = entry.state() == EndpointState.HEALTHY;
        endpoint.listed = entry.state() != EndpointState.REMOVED;
        endpoint.zone = entry.zone();
        endpoint.cell = Math.floorMod(entry.cell(), context.settings().layout().cells());
        if (entry.startedAtS() > 0 && entry.startedAtS() > endpoint.startedAtS) {
            slowStart.onStarted(endpoint, entry.startedAtS());
        }
    }

    /** Returns the record of an endpoint, or null if there is none. */
    EndpointRecord find(String id) {
        return endpoints.get(id);
    }

    /** Returns all records: those of listed endpoints, and of removed ones with attempts outstanding. */
    Collection<EndpointRecord> all() {
        return endpoints.values();
    }

    /** Returns the usable replicas of a shard, in the order of the layout's cells. */
    List<EndpointRecord> replicas(int shard) {
        ReplicaLayout layout = context.settings().layout();
        List<EndpointRecord> replicas = new ArrayList<>();
        for (int offset = 0; offset < layout.replicasPerShard(); offset++) {
            replicas.addAll(usableByCell.get((shard + offset) % layout.cells()));
        }
        return replicas;
    }
}
