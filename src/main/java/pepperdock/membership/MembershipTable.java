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
 * What is known of all members: for each name its newest record and its newest observations. Merging is idempotent and takes
 * items in any order, so members that have received the same items hold the same. Bounded: faulty and left members are
 * forgotten after a while, and an item of such a member that is not known is not taken in again. Owned by the thread that calls
 * {@link Membership}.
 */
final class MembershipTable {

    private static final Hasher64 HASH = Hashing.xxh3_64();

    /** What is known of one member. */
    static final class Entry {
        private MemberRecord memberRecord;
        private Observations observations;
        /** When it came to its status here. */
        private double since;

        private long digest;
        /** Its part of the state digest: its digest while it is alive, else none. */
        private long countedDigest;

        /** How often it refuted a faulty verdict, in this generation. */
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

    /** What merging an item did. */
    enum MergeResult {
        /** Known already, or older than what is known. */
        UNCHANGED,
        /** Something of a known member changed. */
        CHANGED,
        /** Unknown until now. */
        ADDED,
        /** Another process of a known name has taken its place. */
        REPLACED
    }

    private final int maxMembers;
    private final Map<String, Entry> entries = new TreeMap<>();
    /** By subject and observer, of the subject's present generation alone. */
    private final Map<String, Map<String, Observation>> observationsBySubject = new HashMap<>();

    private final ObserverRings rings;
    private final Set<String> faulty = new TreeSet<>();
    /** Observers that say anything of anybody. */
    private final Set<String> activeObservers = new TreeSet<>();

    /** Of all members, alive or not, by slice of the names: the combined digests of those in it. */
    private final long[] sliceDigests = new long[Message.SLICE_COUNT];

    private long stateDigest;
    private long version;
    private long rejected;

    MembershipTable(int maxMembers, int observers) {
        this.maxMembers = maxMembers;
        rings = new ObserverRings(observers);
    }

    /** Null where the member is not known. */
    Entry get(String name) {
        return entries.get(name);
    }

    /** All members known, by name. */
    Collection<Entry> entries() {
        return Collections.unmodifiableCollection(entries.values());
    }

    /** The members that are alive, and who observes whom among them. */
    ObserverRings rings() {
        return rings;
    }

    /** Members declared faulty and not forgotten yet. */
    Collection<String> faulty() {
        return faulty;
    }

    /** Equal for two members that hold the same of all members that are alive. */
    long stateDigest() {
        return stateDigest;
    }

    /** Grows with each change of anything here. */
    long version() {
        return version;
    }

    /** Members not taken in for want of room. */
    long rejected() {
        return rejected;
    }

    /** What is said of a subject's present generation, by observer, whoever that is. */
    Map<String, Observation> observationsOf(String subject) {
        return observationsBySubject.getOrDefault(subject, Map.of());
    }

    /** Subjects of which anything is said. */
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
        // Observations may have come before the record of their subject.
        reindexObservationsOf(received.name());
        onEntryChanged(entry);
    }

    /** Replaces a record that was sent to nobody yet, whichever of the two supersedes the other. */
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
            // What observers said of the generation before is no longer said of this one.
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

    /** Replaces an entry's part of the digests, and puts its name where its status belongs. */
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

    /** Compared between members, so its text is part of the wire format. */
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

    /** Forgets members that have not been alive since before that time, one excepted. */
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

    /** Which slice a name is in. */
    static int sliceOf(String name) {
        return (int) (HASH.hashCharsToLong(name) & Message.SLICE_COUNT - 1);
    }

    private static boolean isInSlices(String name, int slices) {
        return slices == Message.ALL_SLICES || (slices >>> sliceOf(name) & 1) == 1;
    }

    /** Members known. */
    int size() {
        return entries.size();
    }

    /** One digest for each slice. */
    List<Long> sliceDigests() {
        return Arrays.stream(sliceDigests).boxed().toList();
    }

    /** Names known, in one slice. */
    List<String> namesInSlice(int slice) {
        return entries.keySet().stream().filter(name -> sliceOf(name) == slice).toList();
    }

    /** Digests by name, of these slices. */
    Map<String, Long> digests(int slices) {
        Map<String, Long> digests = new TreeMap<>();
        entries.forEach((name, entry) -> {
            if (isInSlices(name, slices)) {
                digests.put(name, entry.digest);
            }
        });
        return digests;
    }

    /** Names that another member lacks or holds otherwise, by its digests of these slices. */
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

    /** Names that another member holds, and this table lacks or holds otherwise. */
    List<String> namesToRequest(Map<String, Long> digests) {
        return digests.entrySet().stream()
                .filter(digest -> {
                    Entry entry = entries.get(digest.getKey());
                    return entry == null || entry.digest != digest.getValue();
                })
                .map(Map.Entry::getKey)
                .toList();
    }

    /** A member's record, and its observations where it has said anything. */
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
