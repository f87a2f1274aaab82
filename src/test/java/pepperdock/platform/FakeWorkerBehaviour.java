package pepperdock.platform;

import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Decides how a fake worker of any protocol reacts to a part. The query's text selects the reaction, such as
 * {@code bad:3,7} (an error for these shards), {@code later:*} (all are rejected) or {@code silent:2}; any other text
 * is served. Counts the calls for each part. Thread-safe.
 */
public final class FakeWorkerBehaviour {

    /** A worker's reaction to a part; a text that selects it begins with its name in lower case. */
    public enum Reaction {
        GOOD,
        BAD,
        LATER,
        SILENT
    }

    /**
     * The duration of a call. It is far longer than the pauses of a machine, as in service: the scheduler would
     * otherwise mistake such a pause for a slow worker, and omit parts of low weight.
     */
    public static final int CALL_MS = 60;

    private final Map<String, AtomicInteger> callsByPart = new ConcurrentHashMap<>();

    /** Counts a call for a part and returns how to react to it. */
    public Reaction onCall(String text, int shard) {
        callsByPart
                .computeIfAbsent(text + '/' + shard, key -> new AtomicInteger())
                .incrementAndGet();
        for (Reaction reaction : Reaction.values()) {
            String prefix = reaction.name().toLowerCase(Locale.ROOT) + ':';
            if (text.startsWith(prefix)) {
                String shards = ',' + text.substring(prefix.length()) + ',';
                return shards.equals(",*,") || shards.contains("," + shard + ",") ? reaction : Reaction.GOOD;
            }
        }
        return Reaction.GOOD;
    }

    /** Returns the number of calls for a part. */
    public int calls(String text, int shard) {
        AtomicInteger count = callsByPart.get(text + '/' + shard);
        return count == null ? 0 : count.get();
    }

    /** Returns the value of a part, the same at each of its replicas. */
    public static String value(String text, int shard) {
        return Integer.toHexString((text + '#' + shard).hashCode());
    }
}
