package pepperdock.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The deltas between the newest versions, kept within bounds, and their sum from any of those versions on. Owned by the thread
 * that calls {@link Publisher}.
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

    /** Adds the newest delta, and drops the oldest beyond the bounds. */
    void add(Delta delta) {
        deltas.addLast(delta);
        bytes += delta.bytes();
        while (deltas.size() > maxVersions || bytes > maxBytes) {
            bytes -= deltas.removeFirst().bytes();
        }
    }

    /** One delta from that version with that digest to the newest; empty where that version is no longer held. */
    Optional<Delta> since(ConfigurationVersion version, ConfigurationDigest digest) {
        return since(version, digest, Integer.MAX_VALUE, Integer.MAX_VALUE);
    }

    /**
     * One delta from that version with that digest as far towards the newest as so many bytes lead, to a version of a format
     * that is no higher; empty where that version is no longer held or they lead nowhere.
     */
    Optional<Delta> since(ConfigurationVersion version, ConfigurationDigest digest, int maxBytes, int highestFormat) {
        Delta furthest = null;
        TreeMap<String, Change> changes = new TreeMap<>();
        long size = Delta.HEADER_BYTES;
        boolean begun = false;
        for (Delta delta : deltas) {
            begun |= delta.base().equals(version) && delta.baseDigest().equals(digest);
            if (begun) {
                size += grown(changes, delta);
                if (size > maxBytes) {
                    break;
                }
                furthest = delta.format() <= highestFormat ? delta : furthest;
            }
        }
        return furthest == null ? Optional.empty() : Optional.of(sum(version, digest, furthest));
    }

    /** Adds the delta's changes to these; returns by how many bytes they have grown. */
    private static long grown(TreeMap<String, Change> changes, Delta delta) {
        long grown = 0;
        for (Change change : delta.changes()) {
            Change before = changes.put(change.key(), change);
            grown += change.bytes() - (before == null ? 0 : before.bytes());
        }
        return grown;
    }

    /** All from that version up to and with the last one. */
    private Delta sum(ConfigurationVersion version, ConfigurationDigest digest, Delta last) {
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
