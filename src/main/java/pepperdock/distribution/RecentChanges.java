package pepperdock.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Keeps the deltas between the newest versions, within bounds, and combines them into one delta from any of those
 * versions. Not thread-safe: used only by the thread that calls {@link Publisher}.
 */
final class RecentChanges {

    private final int maxVersions;
    private final long maxBytes;
    private final Deque<Delta> deltas = new ArrayDeque<>();
    private long bytes;

    RecentChanges(int maxVersions, long maxBytes) {
        this.maxVersions = maxVersions;
        this.maxBytes = maxBytes;
    }

    /** Adds the newest delta, and drops the oldest ones that exceed the bounds. */
    void add(Delta delta) {
        deltas.addLast(delta);
        bytes += delta.bytes();
        while (deltas.size() > maxVersions || bytes > maxBytes) {
            bytes -= deltas.removeFirst().bytes();
        }
    }

    /**
     * Returns one delta from a version and digest to the newest version; empty if the deltas from there are no longer
     * kept.
     */
    Optional<Delta> since(ConfigurationVersion version, ConfigurationDigest digest) {
        return since(version, digest, Integer.MAX_VALUE, Integer.MAX_VALUE);
    }

    /**
     * Returns one delta of at most {@code maxBytes} from a version and digest to the newest version that it can reach,
     * among those whose format is at most {@code highestFormat}. Empty if the deltas from there are no longer kept, or
     * if no such version can be reached.
     */
    Optional<Delta> since(ConfigurationVersion version, ConfigurationDigest digest, int maxBytes, int highestFormat) {
        Delta furthest = null;
        TreeMap<String, Change> changes = new TreeMap<>();
        long size = Delta.HEADER_BYTES;
        boolean begun = false;
        for (Delta delta : deltas) {
            begun |= delta.base().equals(version) && delta.baseDigest().equals(digest);
            if (begun) {
                size += merge(changes, delta);
                if (size > maxBytes) {
                    break;
                }
                furthest = delta.format() <= highestFormat ? delta : furthest;
            }
        }
        return furthest == null ? Optional.empty() : Optional.of(combine(version, digest, furthest));
    }

    /** Merges the delta's changes into the map; returns by how many bytes the map's changes have grown. */
    private static long merge(TreeMap<String, Change> changes, Delta delta) {
        long grown = 0;
        for (Change change : delta.changes()) {
            Change before = changes.put(change.key(), change);
            grown += change.bytes() - (before == null ? 0 : before.bytes());
        }
        return grown;
    }

    /** Combines all deltas from a version up to and including the last one. */
    private Delta combine(ConfigurationVersion version, ConfigurationDigest digest, Delta last) {
        TreeMap<String, Change> changes = new TreeMap<>();
        for (Delta delta : deltas) {
            boolean within = !version.newerThan(delta.base()) && !delta.result().newerThan(last.result());
            if (within) {
                delta.changes().forEach(change -> changes.put(change.key(), change));
            }
        }
        return new Delta(version, digest, last.result(), last.digest(), last.format(), List.copyOf(changes.values()));
    }
}
