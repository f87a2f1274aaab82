package pepperdock.membership;

import java.util.Map;

/**
 * The observations that a member publishes, as an observer, of its subjects (the alerts of Rapid, section 4.1, but
 * withdrawn when they no longer hold). A subject that is not named here is reached, or is not observed by this member.
 *
 * @param name name of the observer
 * @param generation generation of the observer
 * @param revision grows with each change
 * @param unhealthy whether the observer distrusts itself: its observations are then ignored by all members
 * @param bySubject observations by the subject's name
 */
public record Observations(
        String name, long generation, long revision, boolean unhealthy, Map<String, SubjectObservation> bySubject)
        implements GossipItem {

    /** Most bytes on the wire beside names. */
    private static final int FIXED_BYTES = 24;
    /** Most bytes of each subject beside its name. */
    private static final int SUBJECT_BYTES = 12;

    /**
     * The observation of one subject.
     *
     * @param generation generation of the subject: the observation does not apply to another process of that name
     */
    public record SubjectObservation(long generation, Observation observation) {}

    /** Keeps a copy of the map. */
    public Observations {
        bySubject = Map.copyOf(bySubject);
    }

    /** Returns the observations of a member that has not published any yet. */
    static Observations none(MemberRecord member) {
        return new Observations(member.name(), member.generation(), 0, false, Map.of());
    }

    /** Returns whether these are newer than other observations of the same process. */
    boolean supersedes(Observations other) {
        return generation == other.generation && revision > other.revision;
    }

    @Override
    public int maxEncodedBytes() {
        return FIXED_BYTES
                + name.length()
                + bySubject.keySet().stream()
                        .mapToInt(subject -> SUBJECT_BYTES + subject.length())
                        .sum();
    }
}
