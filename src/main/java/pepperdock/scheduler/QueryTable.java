package pepperdock.scheduler;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** The queries that have not ended and the parts that await a result. It iterates over queries in order of arrival. */
final class QueryTable {

    private final Map<Long, QueryState> byId = new LinkedHashMap<>();
    private final Map<Long, QueryState> bySequenceNumber = new HashMap<>();
    private final Map<Long, PartState> parts = new HashMap<>();

    void add(QueryState query) {
        byId.put(query.id, query);
        bySequenceNumber.put(query.sequenceNumber, query);
    }

    void add(PartState part) {
        part.query.parts.add(part);
        parts.put(part.id, part);
    }

    void remove(QueryState query) {
        byId.remove(query.id);
        bySequenceNumber.remove(query.sequenceNumber);
    }

    void remove(PartState part) {
        parts.remove(part.id);
    }

    /** Returns the query with an id, or null if it has ended or is unknown. */
    QueryState find(long id) {
        return byId.get(id);
    }

    /** Returns the query with a sequence number, or null if it has ended or is unknown. */
    QueryState findBySequenceNumber(long number) {
        return bySequenceNumber.get(number);
    }

    /** Returns the part with an id, or null if no result is awaited for it. */
    PartState findPart(long id) {
        return parts.get(id);
    }

    Collection<QueryState> open() {
        return byId.values();
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }

    /** Returns the number of open queries that have been dispatched. */
    long dispatchedCount() {
        return byId.values().stream().filter(query -> query.dispatched).count();
    }
}
