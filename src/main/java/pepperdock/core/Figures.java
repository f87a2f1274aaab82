package pepperdock.core;

import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a gatherer has done since its start: counted where it happens, each event once, on the loop's thread. For each class
 * what was taken is what ended, in one of the four ways, and what is in hand.
 */
public final class Figures {

    /** How a query ended; one whose client left has no answer to be counted by. */
    public enum End {
        SERVED,
        REFUSED,
        FAILED,
        LEFT
    }

    /** Names kept after their class has gone from the settings: files that are changed on and on must not fill the memory. */
    private static final int NAMES_MOST = 256;

    /** By the class's name, which outlives its place in the settings. */
    private final Map<String, EnumMap<End, Long>> ended = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, EnumMap<End, Long>> eldest) {
            return size() > NAMES_MOST;
        }
    };

    private long taken;
    private long attempts;

    /** A class is in force from now on, and has its figures though nothing of it has come; the latest in force are kept. */
    void inForce(String queryClass) {
        EnumMap<End, Long> known = ended.remove(queryClass);
        ended.put(queryClass, known == null ? new EnumMap<>(End.class) : known);
    }

    void taken() {
        taken++;
    }

    void end(String queryClass, End how) {
        ended.computeIfAbsent(queryClass, c -> new EnumMap<>(End.class)).merge(how, 1L, Long::sum);
    }

    void attempted() {
        attempts++;
    }

    /** The classes counted, those in force last. */
    public Iterable<String> classes() {
        return Collections.unmodifiableSet(ended.keySet());
    }

    public long ended(String queryClass, End how) {
        return ended.get(queryClass).getOrDefault(how, 0L);
    }

    /** Queries that were taken, those refused at the door included. */
    public long allTaken() {
        return taken;
    }

    public long allEnded() {
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
