package pepperdock.platform;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pepperdock.core.Attempt;

/**
 * Tracks the attempts in flight on one connection by wire id, and the ids of attempts that ended recently. Owned by the
 * loop's thread.
 *
 * <p>Ids of ended attempts are remembered because their results may arrive late or twice, which is not a protocol
 * error.
 */
final class InFlightAttempts {

    /**
     * Maximum number of ended ids to remember for each connection: many times the number of attempts that end on a
     * connection while a late result is in transit.
     */
    private static final int MAX_ENDED_IDS = 512;

    /**
     * An attempt whose call has been written to the connection.
     *
     * @param frameEndOffset the number of bytes queued on the connection up to the end of the call's frame
     */
    record InFlight(Attempt attempt, long frameEndOffset) {

        private long querySequenceNumber() {
            return attempt.part().query().sequenceNumber();
        }
    }

    private final Map<String, InFlight> byId = new HashMap<>();
    /** The sequence number of the query that each ended id belonged to. */
    private final Map<String, Long> endedIds = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_ENDED_IDS;
        }
    };

    boolean isEmpty() {
        return byId.isEmpty();
    }

    int size() {
        return byId.size();
    }

    void add(InFlight inFlight) {
        byId.put(WorkerProtocol.wireId(inFlight.attempt()), inFlight);
    }

    /** Returns whether this attempt, and not another attempt at the same part, is in flight under the id. */
    boolean contains(String id, Attempt attempt) {
        InFlight inFlight = byId.get(id);
        return inFlight != null && inFlight.attempt() == attempt;
    }

    /** Removes and returns the attempt with this id and remembers the id; returns null if none is in flight. */
    InFlight end(String id) {
        InFlight inFlight = byId.remove(id);
        if (inFlight != null) {
            endedIds.put(id, inFlight.querySequenceNumber());
        }
        return inFlight;
    }

    /** Removes and returns all attempts in flight. */
    List<InFlight> removeAll() {
        List<InFlight> all = List.copyOf(byId.values());
        byId.clear();
        return all;
    }

    /** Returns whether an attempt with this id is in flight, or ended recently. */
    boolean isKnown(String id) {
        return byId.containsKey(id) || endedIds.containsKey(id);
    }

    /**
     * Returns whether the attempt's id is, or recently was, the id of a part of another query. A client may reuse a
     * request id once its query has ended: a late result for the old query would then be mistaken for a result of the
     * new one.
     */
    boolean hasIdConflict(Attempt attempt) {
        String id = WorkerProtocol.wireId(attempt);
        long sequenceNumber = attempt.part().query().sequenceNumber();
        InFlight inFlight = byId.get(id);
        long knownSequenceNumber =
                inFlight != null ? inFlight.querySequenceNumber() : endedIds.getOrDefault(id, sequenceNumber);
        return knownSequenceNumber != sequenceNumber;
    }
}
