package pepperdock.distribution;

/**
 * The position of a configuration in the committed order. Versions are compared by epoch first, so that the number of a
 * control machine with an old disk cannot pass for a newer one.
 *
 * @param epoch the incarnation of the log; the operator raises it when the log has to be restarted from an older disk
 * @param number the index of the committed log entry that made this version; it grows within an epoch, with gaps
 */
public record ConfigurationVersion(long epoch, long number) implements Comparable<ConfigurationVersion> {

    /** Older than every version. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0);

    /** The bytes of a version on the wire. */
    static final int BYTES = 16;

    @Override
    public int compareTo(ConfigurationVersion other) {
        int byEpoch = Long.compare(epoch, other.epoch);
        return byEpoch != 0 ? byEpoch : Long.compare(number, other.number);
    }

    /** Returns whether this version was committed after the other. */
    public boolean newerThan(ConfigurationVersion other) {
        return compareTo(other) > 0;
    }

    @Override
    public String toString() {
        return epoch + "." + number;
    }
}
