package pepperdock.platform;

import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * How a stand-in worker behaves, of whatever protocol: told by the query's text, such as {@code bad:3,7} (these shards
 * end badly), {@code later:*} (all turn away) or {@code silent:2}; any other text is answered well.
 */
public final class StandIn {

    /** What a worker does with a part. */
    public enum Does {
        GOOD,
        BAD,
        LATER,
        SILENT
    }

    /**
     * How long a call takes: as in service far more than a machine's own hiccups, which the module would otherwise take
     * for a slow worker's, and leave light parts out.
     */
    public static final int WORK_MS = 60;

    /** How often each part was asked for, by text and shard. */
    public final Map<String, AtomicInteger> asked = new ConcurrentHashMap<>();

    public Does part(String text, int shard) {
        asked.computeIfAbsent(text + '/' + shard, k -> new AtomicInteger()).incrementAndGet();
        for (Does does : Does.values()) {
            String mark = does.name().toLowerCase(Locale.ROOT) + ':';
            if (text.startsWith(mark)) {
                String which = ',' + text.substring(mark.length()) + ',';
                return which.equals(",*,") || which.contains("," + shard + ",") ? does : Does.GOOD;
            }
        }
        return Does.GOOD;
    }

    public int times(String text, int shard) {
        AtomicInteger count = asked.get(text + '/' + shard);
        return count == null ? 0 : count.get();
    }

    /** The value that a part has, the same at each of its holders. */
    public static String value(String text, int shard) {
        return Integer.toHexString((text + '#' + shard).hashCode());
    }
}
