package pepperdock.core;

import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counters of a gatherer since its start. Each event is counted once, where it happens. The number of queries submitted
 * equals the number that have ended, with one of the four outcomes, plus the number in flight, except while an answer is
 * being given. Owned by the gatherer's thread.
 */
public final class Metrics {

    /** How a query ended. */
    public enum QueryOutcome {
        /** Answered, from all parts or from enough of them. */
        SERVED,
        /** Rejected; the client may safely repeat it. */
        REJECTED,
        /** Failed; it may or may not have had an effect. */
        FAILED,
        /** Its client disconnected before the answer. */
        CLIENT_GONE
    }

    /**
     * Maximum number of class names with counters, including those no longer in the settings. Bounds the memory of a
     * process whose settings change often.
     */
    private static final int MAX_CLASS_NAMES = 256;

    /**
     * Ended queries by the name of the class, because its number may denote another class after a change of the
     * settings.
     */
    private final Map<String, EnumMap<QueryOutcome, Long>> endedByClass = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EnumMap<QueryOutcome, Long>> eldest) {
            return size() > MAX_CLASS_NAMES;
        }
    };

    private long submitted;
    private long attempts;
    private long internalFailures;
    private long lateAnswers;
    private long turnedAwayAttempts;
    private long retractedResults;
    private long resultsRetractedTooLate;
    private long endpointListFailures;
    private long endpointListVersion;

    /** Adds a class of the current settings; a new class is counted from 0. The classes added last are kept longest. */
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

    /** Returns the names of the classes that have counters; the classes of the current settings come last. */
    public Iterable<String> classes() {
        return Collections.unmodifiableSet(endedByClass.keySet());
    }

    /** Returns the number of queries of a class that ended with this outcome; the class must have counters. */
    public long ended(String className, QueryOutcome outcome) {
        return endedByClass.get(className).getOrDefault(outcome, 0L);
    }

    /** Returns the number of queries submitted, including those rejected on arrival. */
    public long submittedTotal() {
        return submitted;
    }

    /** Returns the number of queries that have ended with any outcome. */
    public long endedTotal() {
        return endedByClass.values().stream()
                .flatMap(outcomes -> outcomes.values().stream())
                .mapToLong(Long::longValue)
                .sum();
    }

    void recordLateAnswer() {
        lateAnswers++;
    }

    /** Returns the number of queries that were answered later than their deadline and its slack. */
    public long lateAnswers() {
        return lateAnswers;
    }

    void recordInternalFailure() {
        internalFailures++;
    }

    /** Returns the number of exceptions that showed a fault of this program and were kept from affecting others. */
    public long internalFailures() {
        return internalFailures;
    }

    /** Returns the number of attempts whose last byte was handed to the operating system. */
    public long attempts() {
        return attempts;
    }

    void recordTurnedAwayAttempt() {
        turnedAwayAttempts++;
    }

    /** Returns the number of attempts that a worker turned away, because it was full, draining or had stopped. */
    public long turnedAwayAttempts() {
        return turnedAwayAttempts;
    }

    void recordRetractedResult() {
        retractedResults++;
    }

    /** Returns the number of workers' results that were retracted, because later input showed them to be damaged. */
    public long retractedResults() {
        return retractedResults;
    }

    void recordResultRetractedTooLate() {
        resultsRetractedTooLate++;
    }

    /** Returns the number of values that were retracted after their query had ended; clients may have received them. */
    public long resultsRetractedTooLate() {
        return resultsRetractedTooLate;
    }

    /** Counts a request for the endpoint list that failed or was given up. */
    public void recordEndpointListFailure() {
        endpointListFailures++;
    }

    /** Returns the number of requests for the endpoint list that failed or were given up. */
    public long endpointListFailures() {
        return endpointListFailures;
    }

    /** Sets the version of the endpoint list in use. */
    public void setEndpointListVersion(long version) {
        endpointListVersion = version;
    }

    /** Returns the version of the endpoint list in use; 0 if the source of the list has no versions. */
    public long endpointListVersion() {
        return endpointListVersion;
    }
}
