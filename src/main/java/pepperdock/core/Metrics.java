package pepperdock.core;

import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a gatherer has done since its start: counted where it happens, each event once, on the loop's thread. For each class
 * what was taken is what ended, in one of the four ways, and what is in hand.
 */
public final class Metrics {

    /** How a query ended; one whose client left has no answer to be counted by. */
    public enum QueryOutcome {
        SERVED,
        REJECTED,
        FAILED,
        CLIENT_GONE
    }

    /** Names kept after their class has gone from the settings: files that are changed on and on must not fill the memory. */
    private static final int MAX_CLASS_NAMES = 256;

    /** By the class's name, which outlives its place in the settings. */
    private final Map<String, EnumMap<QueryOutcome, Long>> ended = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EnumMap<QueryOutcome, Long>> eldest) {
            return size() > MAX_CLASS_NAMES;
        }
    };

    private long recordSubmitted;
    private long attempts;

    /** A class is in force from now on, and has its figures though nothing of it has come; the latest in force are kept. */
    void addClass(String queryClass) {
        EnumMap<QueryOutcome, Long> known = ended.remove(queryClass);
        ended.put(queryClass, known == null ? new EnumMap<>(QueryOutcome.class) : known);
    }

    void recordSubmitted() {
        recordSubmitted++;
    }

    void recordEnded(String queryClass, QueryOutcome how) {
        ended.computeIfAbsent(queryClass, c -> new EnumMap<>(QueryOutcome.class))
                .merge(how, 1L, Long::sum);
    }

    void recordAttempt() {
        attempts++;
    }

    /** The classes counted, those in force last. */
    public Iterable<String> classes() {
        return Collections.unmodifiableSet(ended.keySet());
    }

    public long ended(String queryClass, QueryOutcome how) {
        return ended.get(queryClass).getOrDefault(how, 0L);
    }

    /** Queries that were taken, those refused at the door included. */
    public long submittedTotal() {
        return recordSubmitted;
    }

    public long endedTotal() {
        return ended.values().stream()
                .flatMap(m -> m.values().stream())
                .mapToLong(Long::longValue)
                .sum();
    }

    /** Attempts whose last byte was given to the system. */
    public long attempts() {
        return attempts;
    }
}
