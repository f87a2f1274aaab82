package pepperdock.distribution;

/**
 * The place of a configuration in the settled order. Versions are compared by epoch first, so that a control machine with an
 * old disk can't make its number look newer.
 *
 * @param epoch the incarnation of the log; raised by the operator when a log has to be begun anew from an older disk
 * @param number the index of the committed log entry that made this version; it grows within an epoch, with gaps
 */
public record ConfigurationVersion(long epoch, long number) implements Comparable<ConfigurationVersion> {

    /** Older than every version. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0);

    /** Bytes of a version on the wire. */
    static final int BYTES = 16;

    @Override
    public int compareTo(ConfigurationVersion other) {
        int byEpoch = Long.compare(epoch, other.epoch);
        return byEpoch != 0 ? byEpoch : Long.compare(number, other.number);
    }

    /** Whether this version was settled after the other. */
    public boolean newerThan(ConfigurationVersion other) {
        return compareTo(other) > 0;
    }

    @Override
    public String toString() {
        return epoch + "." + number;
    }
}
