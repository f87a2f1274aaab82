package pepperdock.distribution;

/** Identifies a subscriber by the name of its gatherer. */
public record SubscriberId(String name) implements Comparable<SubscriberId> {

    @Override
    public int compareTo(SubscriberId other) {
        return name.compareTo(other.name);
    }
}
