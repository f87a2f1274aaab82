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
public record Links(String name, long life, long revision, boolean ill, Map<String, Said> said) implements Item {

    /** Of which life of the subject, and what. */
    public record Said(long life, Word word) {}

    public Links {
        said = Map.copyOf(said);
    }

    static Links none(Card of) {
        return new Links(of.name(), of.life(), 0, false, Map.of());
    }

    boolean beats(Links other) {
        return life == other.life && revision > other.revision;
    }

    @Override
    public int size() {
        return 24
                + name.length()
                + said.keySet().stream().mapToInt(s -> 12 + s.length()).sum();
    }
}
