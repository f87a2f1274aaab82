package pepperdock.core;

import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counters of a gatherer since its start. Each event is counted once, where it happens. At any moment the queries submitted are
 * those that have ended, in one of the four ways, and those in flight. Owned by the gatherer's thread.
 */
public final class Metrics {

    /** How a query ended. */
    public enum QueryOutcome {
        /** Answered, from all parts or from enough of them. */
        SERVED,
        /** Rejected; a repeat is harmless. */
        REJECTED,
        /** Failed, with no promise about effects. */
        FAILED,
        /** Its client disconnected before the answer. */
        CLIENT_GONE
    }

    /**
     * Class names counted, those no longer in the settings included: bounds the memory of a process whose settings are changed
     * again and again.
     */
    private static final int MAX_CLASS_NAMES = 256;

    /** By the name of the class, as its number may mean another class after a change of the settings. */
    private final Map<String, EnumMap<QueryOutcome, Long>> endedByClass = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EnumMap<QueryOutcome, Long>> eldest) {
            return size() > MAX_CLASS_NAMES;
        }
    };

    private long submitted;
    private long attempts;

    /** A class is in force from now on, and is counted from 0 if it is new. Those added last are kept longest. */
    void addClass(String className) {
        EnumMap<QueryOutcome, Long> known = endedByClass.remove(className);
        endedByClass.put(className, known == null ? new EnumMap<>(QueryOutcome.class) : known);
    }

    void recordSubmitted() {
        submitted++;
    }

    void recordEnded(String className, QueryOutcome outcome) {
        endedByClass
                .computeIfAbsent(className, name -> new EnumMap<>(QueryOutcome.class))
                .merge(outcome, 1L, Long::sum);
    }

    void recordAttempt() {
        attempts++;
    }

    /** Names of the classes counted, those in force last. */
    public Iterable<String> classes() {
        return Collections.unmodifiableSet(endedByClass.keySet());
    }

    /** Queries of a class counted that ended with this outcome. */
    public long ended(String className, QueryOutcome outcome) {
        return endedByClass.get(className).getOrDefault(outcome, 0L);
    }

    /** Queries submitted, those rejected on arrival included. */
    public long submittedTotal() {
        return submitted;
    }

    /** Queries that have ended, whatever their outcome. */
    public long endedTotal() {
        return endedByClass.values().stream()
                .flatMap(outcomes -> outcomes.values().stream())
                .mapToLong(Long::longValue)
                .sum();
    }

    /** Attempts whose last byte was given to the operating system. */
    public long attempts() {
        return attempts;
    }
}
