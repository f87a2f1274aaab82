package pepperdock.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The listed endpoints, and which of them hold a shard. Iteration is in the order in which endpoints were first listed. */
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

    /** Takes in a list, or changes of it. */
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
        // An endpoint that is removed comes back under a new id: its record would only fill memory.
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

    /** The record of an endpoint, null where none is kept. */
    EndpointRecord find(String id) {
        return endpoints.get(id);
    }

    /** All records: those of listed endpoints, and of removed ones with attempts outstanding. */
    Collection<EndpointRecord> all() {
        return endpoints.values();
    }

    /** The usable replicas of a shard, in the order of the layout's cells. */
    List<EndpointRecord> replicas(int shard) {
        ReplicaLayout layout = context.settings().layout();
        List<EndpointRecord> replicas = new ArrayList<>();
        for (int offset = 0; offset < layout.replicasPerShard(); offset++) {
            replicas.addAll(usableByCell.get((shard + offset) % layout.cells()));
        }
        return replicas;
    }
}
