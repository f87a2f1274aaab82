package pepperdock.membership;

import java.util.Map;

/**
 * What a member, as an observer, says of its subjects (the alerts of Rapid, section 4.1, but taken back when they no longer
 * hold). A subject that is not named here is reached, or is not observed by it.
 *
 * @param name the observer
 * @param generation the observer's
 * @param revision grows with each change
 * @param unhealthy whether the observer doubts itself: what it says then counts for nobody
 * @param bySubject by the subject's name
 */
public record Observations(
        String name, long generation, long revision, boolean unhealthy, Map<String, SubjectObservation> bySubject)
        implements GossipItem {

    /** Bytes on the wire beside names, at most. */
    private static final int FIXED_BYTES = 24;
    /** Bytes of each subject beside its name, at most. */
    private static final int SUBJECT_BYTES = 12;

    /**
     * What is said of one subject.
     *
     * @param generation the subject's: of another process of that name nothing is said
     */
    public record SubjectObservation(long generation, Observation observation) {}

    /** Keeps a copy of the map. */
    public Observations {
        bySubject = Map.copyOf(bySubject);
    }

    /** Before a member has said anything. */
    static Observations none(MemberRecord member) {
        return new Observations(member.name(), member.generation(), 0, false, Map.of());
    }

    /** Whether this is newer than what the same process said before. */
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
