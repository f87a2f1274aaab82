package pepperdock.distribution;

/** Who a subscriber is: the gatherer's name. */
public record SubscriberId(String name) implements Comparable<SubscriberId> {

    @Override
    public int compareTo(SubscriberId other) {
        return name.compareTo(other.name);
    }
}
