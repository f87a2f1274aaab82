package pepperdock.scheduler;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** The queries that have not ended and the parts that await a result. Iteration is in order of arrival. */
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

    /** The query of an id, null where it has ended or is unknown. */
    QueryState find(long id) {
        return byId.get(id);
    }

    /** The query of a sequence number, null where it has ended or is unknown. */
    QueryState findBySequenceNumber(long number) {
        return bySequenceNumber.get(number);
    }

    /** The part of an id, null where no result is awaited. */
    PartState findPart(long id) {
        return parts.get(id);
    }

    Collection<QueryState> open() {
        return byId.values();
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }

    /** Open queries that have been dispatched. */
    long dispatchedCount() {
        return byId.values().stream().filter(query -> query.dispatched).count();
    }
}
