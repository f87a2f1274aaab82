package pepperdock.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.TreeMap;

/** The deltas between the newest versions, and what they come to from any of those versions on. */
final class RecentChanges {

    private final int mostVersions;
    private final long mostBytes;
    private final Deque<Delta> deltas = new ArrayDeque<>();
    private long bytes;

    RecentChanges(int mostVersions, long mostBytes) {
        this.mostVersions = mostVersions;
        this.mostBytes = mostBytes;
    }

    void add(Delta delta) {
        deltas.addLast(delta);
        bytes += delta.bytes();
        while (deltas.size() > mostVersions || bytes > mostBytes) {
            bytes -= deltas.removeFirst().bytes();
        }
    }

    /** One delta from that version with that digest to the newest; empty where that version is no longer held. */
    Optional<Delta> since(Version version, Digest digest) {
        Iterator<Delta> newestFirst = deltas.descendingIterator();
        TreeMap<String, Change> changes = new TreeMap<>();
        while (newestFirst.hasNext()) {
            Delta delta = newestFirst.next();
            delta.changes().forEach(c -> changes.putIfAbsent(c.key(), c));
            if (delta.base().equals(version)) {
                Delta newest = deltas.getLast();
                return delta.baseDigest().equals(digest)
                        ? Optional.of(new Delta(
                                version,
                                digest,
                                newest.result(),
                                newest.digest(),
                                newest.format(),
                                java.util.List.copyOf(changes.values())))
                        : Optional.empty();
            }
            if (version.newerThan(delta.base())) {
                return Optional.empty();
            }
        }
        return Optional.empty();
    }
}
