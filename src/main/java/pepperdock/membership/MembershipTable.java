package pepperdock.membership;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The newest record and the newest observations of every known member. Merging is idempotent and accepts items in any
 * order, so members that have received the same items hold the same table. The table is bounded: members that are
 * faulty or have left are forgotten after a while, and an item of such a member is not accepted again once the member
 * is unknown. Owned by the thread that calls {@link Membership}.
 */
final class MembershipTable {

    private static final Hasher64 HASH = Hashing.xxh3_64();

    /** The record and the observations of one member. */
    static final class Entry {
        private MemberRecord memberRecord;
        private Observations observations;
        /** When the member came to its status in this table. */
        private double since;

        private long digest;
        /** Its contribution to the state digest: its digest while it is alive, else 0. */
        private long countedDigest;

        /** How often the member refuted a faulty verdict in this generation. */
        private int refutations;

        MemberRecord memberRecord() {
            return memberRecord;
        }

        Observations observations() {
            return observations;
        }

        double since() {
            return since;
        }

        int refutations() {
            return refutations;
        }

        boolean isAlive() {
            return memberRecord.status() == RecordStatus.ALIVE;
        }
    }

    /** The effect of merging an item. */
    enum MergeResult {
        /** The item was known already, or older than the known one. */
        UNCHANGED,
        /** A known member changed. */
        CHANGED,
        /** The member was unknown until now. */
        ADDED,
        /** Another process of a known name has taken its place. */
        REPLACED
    }

    private final int maxMembers;
    private final Map<String, Entry> entries = new TreeMap<>();
    /** Observations by subject and observer, of the subject's present generation only. */
    private final Map<String, Map<String, Observation>> observationsBySubject = new HashMap<>();

    private final ObserverRings rings;
    private final Set<String> faulty = new TreeSet<>();
    /** Observers whose observations name at least one subject. */
    private final Set<String> activeObservers = new TreeSet<>();

    /** Combined digests of all members, alive or not, by the slice of their names. */
    private final long[] sliceDigests = new long[Message.SLICE_COUNT];

    private long stateDigest;
    private long version;
    private long rejected;

    MembershipTable(int maxMembers, int observers) {
        this.maxMembers = maxMembers;
        rings = new ObserverRings(observers);
    }

    /** Returns the entry of a member, or null if the member is not known. */
    Entry get(String name) {
        return entries.get(name);
    }

    /** Returns all known members, by name. */
    Collection<Entry> entries() {
        return Collections.unmodifiableCollection(entries.values());
    }

    /** Returns the members that are alive, and who observes whom among them. */
    ObserverRings rings() {
        return rings;
    }

    /** Returns the members declared faulty and not forgotten yet. */
    Collection<String> faulty() {
        return faulty;
    }

    /**
     * Returns a digest of the items of all members that are alive. It is equal for two members that hold the same
     * items.
     */
    long stateDigest() {
        return stateDigest;
    }

    /** Returns a number that grows with each change of this table. */
    long version() {
        return version;
    }

    /** Returns how many members were rejected because the table was full. */
    long rejected() {
        return rejected;
    }

    /**
     * Returns the observations of a subject's present generation, by observer. Includes those of members that are not,
     * or no longer, observers of the subject.
     */
    Map<String, Observation> observationsOf(String subject) {
        return observationsBySubject.getOrDefault(subject, Map.of());
    }

    /** Returns the subjects of which there is any observation. */
    Collection<String> observedSubjects() {
        return observationsBySubject.keySet();
    }

    // ---- Merging ------------------------------------------------------------

    /** Merges a member's record. */
    MergeResult merge(MemberRecord received, double now) {
        Entry entry = entries.get(received.name());
        if (entry != null) {
            return received.supersedes(entry.memberRecord)
                    ? replaceRecord(entry, received, now)
                    : MergeResult.UNCHANGED;
        }
        if (received.status() != RecordStatus.ALIVE) {
            return MergeResult.UNCHANGED;
        }
        if (entries.size() >= maxMembers) {
            rejected++;
            return MergeResult.UNCHANGED;
        }
        add(received, now);
        return MergeResult.ADDED;
    }

    private void add(MemberRecord received, double now) {
        Entry entry = new Entry();
        entries.put(received.name(), entry);
        entry.memberRecord = received;
        entry.observations = Observations.none(received);
        entry.since = now;
        // Observations may have arrived before the record of their subject.
        reindexObservationsOf(received.name());
        onEntryChanged(entry);
    }

    /** Replaces a record that has not been sent to anybody yet, even if the new one does not supersede it. */
    void replaceUnpublished(MemberRecord successor, double now) {
        replaceRecord(entries.get(successor.name()), successor, now);
    }

    private MergeResult replaceRecord(Entry entry, MemberRecord newRecord, double now) {
        boolean replaced = newRecord.generation() != entry.memberRecord.generation();
        if (replaced) {
            removeObservations(entry.observations);
            entry.observations = Observations.none(newRecord);
            entry.refutations = 0;
        } else if (entry.memberRecord.status() == RecordStatus.FAULTY && newRecord.status() == RecordStatus.ALIVE) {
            entry.refutations++;
        }
        if (replaced || newRecord.status() != entry.memberRecord.status()) {
            entry.since = now;
        }
        entry.memberRecord = newRecord;
        if (replaced) {
            // Observations of the previous generation do not apply to this one.
            reindexObservationsOf(newRecord.name());
        }
        onEntryChanged(entry);
        return replaced ? MergeResult.REPLACED : MergeResult.CHANGED;
    }

    /** Merges an observer's observations. */
    MergeResult merge(Observations received) {
        Entry entry = entries.get(received.name());
        if (entry == null || !received.supersedes(entry.observations)) {
            return MergeResult.UNCHANGED;
        }
        removeObservations(entry.observations);
        entry.observations = received;
        if (!received.bySubject().isEmpty()) {
            activeObservers.add(received.name());
        }
        received.bySubject().forEach((subject, observation) -> addObservation(received.name(), subject, observation));
        onEntryChanged(entry);
        return MergeResult.CHANGED;
    }

    private void addObservation(String observer, String subject, Observations.SubjectObservation observation) {
        Entry subjectEntry = entries.get(subject);
        if (subjectEntry != null && subjectEntry.memberRecord.generation() == observation.generation()) {
            observationsBySubject
                    .computeIfAbsent(subject, key -> new TreeMap<>())
                    .put(observer, observation.observation());
        }
    }

    private void removeObservations(Observations observations) {
        activeObservers.remove(observations.name());
        for (String subject : observations.bySubject().keySet()) {
            Map<String, Observation> byObserver = observationsBySubject.get(subject);
            if (byObserver != null) {
                byObserver.remove(observations.name());
                if (byObserver.isEmpty()) {
                    observationsBySubject.remove(subject);
                }
            }
        }
    }

    private void reindexObservationsOf(String subject) {
        observationsBySubject.remove(subject);
        for (String observer : activeObservers) {
            Observations.SubjectObservation observation =
                    entries.get(observer).observations.bySubject().get(subject);
            if (observation != null) {
                addObservation(observer, subject, observation);
            }
        }
    }

    /** Updates an entry's contribution to the digests, and its name in the rings and among the faulty members. */
    private void onEntryChanged(Entry entry) {
        version++;
        String name = entry.memberRecord.name();
        int slice = sliceOf(name);
        sliceDigests[slice] ^= entry.digest;
        entry.digest = digestOf(entry);
        sliceDigests[slice] ^= entry.digest;
        stateDigest ^= entry.countedDigest;
        entry.countedDigest = entry.isAlive() ? entry.digest : 0;
        stateDigest ^= entry.countedDigest;
        if (entry.isAlive()) {
            rings.add(name);
        } else {
            rings.remove(name);
        }
        if (entry.memberRecord.status() == RecordStatus.FAULTY) {
            faulty.add(name);
        } else {
            faulty.remove(name);
        }
    }

    /** Returns the digest of an entry. Members compare it, so its text is part of the wire format. */
    private static long digestOf(Entry entry) {
        MemberRecord memberRecord = entry.memberRecord;
        return HASH.hashCharsToLong(memberRecord.name()
                + ' '
                + memberRecord.generation()
                + ' '
                + memberRecord.incarnation()
                + ' '
                + memberRecord.status().digestText()
                + ' '
                + entry.observations.revision());
    }

    /** Forgets members that have not been alive since before that time, except for one. */
    void removeExpired(double before, String except) {
        for (Iterator<Entry> iterator = entries.values().iterator(); iterator.hasNext(); ) {
            Entry entry = iterator.next();
            String name = entry.memberRecord.name();
            if (!entry.isAlive() && entry.since < before && !name.equals(except)) {
                removeObservations(entry.observations);
                observationsBySubject.remove(name);
                faulty.remove(name);
                sliceDigests[sliceOf(name)] ^= entry.digest;
                version++;
                iterator.remove();
            }
        }
    }

    // ---- Anti-entropy ------------------------------------------------------------

    /** Returns the slice of a name. */
    static int sliceOf(String name) {
        return (int) (HASH.hashCharsToLong(name) & Message.SLICE_COUNT - 1);
    }

    private static boolean isInSlices(String name, int slices) {
        return slices == Message.ALL_SLICES || (slices >>> sliceOf(name) & 1) == 1;
    }

    /** Returns the number of known members. */
    int size() {
        return entries.size();
    }

    /** Returns one digest for each slice. */
    List<Long> sliceDigests() {
        return Arrays.stream(sliceDigests).boxed().toList();
    }

    /** Returns the known names in one slice. */
    List<String> namesInSlice(int slice) {
        return entries.keySet().stream().filter(name -> sliceOf(name) == slice).toList();
    }

    /** Returns the digests by name of these slices. */
    Map<String, Long> digests(int slices) {
        Map<String, Long> digests = new TreeMap<>();
        entries.forEach((name, entry) -> {
            if (isInSlices(name, slices)) {
                digests.put(name, entry.digest);
            }
        });
        return digests;
    }

    /** Returns the names that another member lacks or holds in another version, by its digests of these slices. */
    List<String> namesToSend(Map<String, Long> digests, int slices) {
        List<String> names = new ArrayList<>();
        entries.forEach((name, entry) -> {
            Long other = digests.get(name);
            if (other == null ? isInSlices(name, slices) : other != entry.digest) {
                names.add(name);
            }
        });
        return names;
    }

    /** Returns the names that another member holds, and this table lacks or holds in another version. */
    List<String> namesToRequest(Map<String, Long> digests) {
        return digests.entrySet().stream()
                .filter(digest -> {
                    Entry entry = entries.get(digest.getKey());
                    return entry == null || entry.digest != digest.getValue();
                })
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns a member's record, and its observations if it has published any. */
    List<GossipItem> itemsOf(String name) {
        Entry entry = entries.get(name);
        if (entry == null) {
            return List.of();
        }
        return entry.observations.revision() == 0
                ? List.of(entry.memberRecord)
                : List.of(entry.memberRecord, entry.observations);
    }
}
