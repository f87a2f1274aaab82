package pepperdock.membership;

import java.util.Map;

/**
 * What a member says, as an observer, of subjects that it does not simply reach. Whoever is not named here is reached, or is
 * not observed by it.
 *
 * @param name the observer
 * @param life the observer's
 * @param revision grows with each change
 * @param ill the observer doubts itself: what it says counts for nobody
 * @param said by subject
 */
public record Observations(
        String name, long generation, long revision, boolean unhealthy, Map<String, SubjectObservation> bySubject)
        implements GossipItem {

    /** Of which life of the subject, and what. */
    public record SubjectObservation(long generation, Observation observation) {}

    public Observations {
        bySubject = Map.copyOf(bySubject);
    }

    static Observations none(MemberRecord member) {
        return new Observations(member.name(), member.generation(), 0, false, Map.of());
    }

    boolean supersedes(Observations other) {
        return generation == other.generation && revision > other.revision;
    }

    @Override
    public int maxEncodedBytes() {
        return 24
                + name.length()
                + bySubject.keySet().stream()
                        .mapToInt(subject -> 12 + subject.length())
                        .sum();
    }
}
