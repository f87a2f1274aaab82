package pepperdock.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds the queries in flight in the order of their arrival, their parts, and the capacity that they use. Owned by the
 * gatherer's thread.
 */
final class QueryRegistry {

    private final Map<Long, Query> queriesById = new LinkedHashMap<>();
    private final Map<Long, Part> partsById = new HashMap<>();
    private final Set<String> requestIds = new HashSet<>();
    private long nextId = 1;
    private long nextArrivalNumber = 1;
    private int capacityInUse;

    /** Returns a new id for a query or a part; ids are never reused. */
    long nextId() {
        return nextId++;
    }

    /** Returns a new number for an accepted query, by which the arrivals of its parts refer to it. */
    long nextArrivalNumber() {
        return nextArrivalNumber++;
    }

    /** Returns the capacity that a query uses: one unit for itself and one for each of its parts. */
    private static int capacityOf(int parts) {
        return 1 + parts;
    }

    /** Adds a query and creates its parts from its request. */
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

    /** Removes a query; its parts stay until {@link #removeParts}, because the scheduler may still refer to them. */
    void remove(Query query) {
        queriesById.remove(query.id);
        requestIds.remove(query.request().id());
        capacityInUse -= capacityOf(query.parts.size());
    }

    void removeParts(Query query) {
        query.parts.forEach(part -> partsById.remove(part.id));
    }

    /** Returns the query with this id; null if it is not in flight. */
    Query query(long id) {
        return queriesById.get(id);
    }

    /** Returns the part with this id; null if it is unknown. */
    Part part(long id) {
        return partsById.get(id);
    }

    /** Returns a copy of the list of queries in flight. */
    List<Query> queries() {
        return List.copyOf(queriesById.values());
    }

    int size() {
        return queriesById.size();
    }

    /** Returns the number of queries and parts in flight, which {@code maxQueriesAndParts} of the settings limits. */
    int capacityInUse() {
        return capacityInUse;
    }

    /** Returns whether a query in flight has this id, assigned by its client. */
    boolean isRequestIdInUse(String requestId) {
        return requestIds.contains(requestId);
    }
}
