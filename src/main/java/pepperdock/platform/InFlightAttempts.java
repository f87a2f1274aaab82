package pepperdock.platform;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pepperdock.core.Attempt;

/**
 * The attempts in flight on one connection by their id on the wire, and the ids of those that ended lately. Owned by the loop's
 * thread.
 *
 * <p>Ids of ended attempts are remembered as their results may come late or twice, and are not a protocol error then.
 */
final class InFlightAttempts {

    /** Ended ids remembered a connection: many times what ends on one while a late result is under way. */
    private static final int MAX_ENDED_IDS = 512;

    /**
     * An attempt whose call has been written to the connection.
     *
     * @param frameEnd how many bytes have been queued on the connection up to the end of the call's frame
     */
    record InFlight(Attempt attempt, long frameEnd) {

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

    /** Whether this very attempt is in flight under the id, and not another of the same part. */
    boolean contains(String id, Attempt attempt) {
        InFlight inFlight = byId.get(id);
        return inFlight != null && inFlight.attempt() == attempt;
    }

    /** Ends the attempt of that id and remembers the id; null where none is in flight. */
    InFlight end(String id) {
        InFlight inFlight = byId.remove(id);
        if (inFlight != null) {
            endedIds.put(id, inFlight.querySequenceNumber());
        }
        return inFlight;
    }

    /** Removes and returns all that is in flight. */
    List<InFlight> removeAll() {
        List<InFlight> all = List.copyOf(byId.values());
        byId.clear();
        return all;
    }

    /** Whether the id is in flight, or was lately. */
    boolean isKnown(String id) {
        return byId.containsKey(id) || endedIds.containsKey(id);
    }

    /**
     * Whether the attempt's id is, or was lately, that of another query. A client may use a request id again once its query is
     * over: a late result for the old query would be taken for the new one's.
     */
    boolean hasIdConflict(Attempt attempt) {
        String id = WorkerProtocol.wireId(attempt);
        long sequenceNumber = attempt.part().query().sequenceNumber();
        InFlight inFlight = byId.get(id);
        long knownAs = inFlight != null ? inFlight.querySequenceNumber() : endedIds.getOrDefault(id, sequenceNumber);
        return knownAs != sequenceNumber;
    }
}
