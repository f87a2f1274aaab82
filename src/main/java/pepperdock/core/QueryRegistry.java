package pepperdock.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The queries in flight, in the order of their arrival, their parts, and the capacity that they use. Owned by the gatherer's
 * thread.
 */
final class QueryRegistry {

    private final Map<Long, Query> queriesById = new LinkedHashMap<>();
    private final Map<Long, Part> partsById = new HashMap<>();
    private final Set<String> requestIds = new HashSet<>();
    private long nextId = 1;
    private long nextArrivalNumber = 1;
    private int capacityInUse;

    /** An id for a query or a part, never used again. */
    long nextId() {
        return nextId++;
    }

    /** A number for an accepted query, by which the arrivals of its parts name it. */
    long nextArrivalNumber() {
        return nextArrivalNumber++;
    }

    /** The capacity that a query of so many parts uses: one for itself and one for each part. */
    private static int capacityOf(int parts) {
        return 1 + parts;
    }

    /** Adds a query, and makes its parts from its request. */
    void add(Query query) {
        capacityInUse += capacityOf(query.request().parts().size());
        queriesById.put(query.id, query);
        requestIds.add(query.request().id());
        for (QueryRequest.RequestedPart requested : query.request().parts()) {
            Part part = new Part(nextId(), query, requested.shard(), requested.weight());
            query.parts.add(part);
            partsById.put(part.id, part);
        }
    }

    /** Removes a query; its parts stay until {@link #removeParts}, as the scheduler may still name them. */
    void remove(Query query) {
        queriesById.remove(query.id);
        requestIds.remove(query.request().id());
        capacityInUse -= capacityOf(query.parts.size());
    }

    void removeParts(Query query) {
        query.parts.forEach(part -> partsById.remove(part.id));
    }

    /** The query of that id; null when it is not in flight. */
    Query query(long id) {
        return queriesById.get(id);
    }

    /** The part of that id; null when it is unknown. */
    Part part(long id) {
        return partsById.get(id);
    }

    /** A copy of the queries in flight. */
    List<Query> queries() {
        return List.copyOf(queriesById.values());
    }

    int size() {
        return queriesById.size();
    }

    /** Queries and parts in flight, which {@code maxInFlight} of the settings bounds. */
    int capacityInUse() {
        return capacityInUse;
    }

    /** Whether a query in flight has that id of its client's. */
    boolean isRequestIdInUse(String requestId) {
        return requestIds.contains(requestId);
    }
}
