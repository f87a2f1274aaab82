package pepperdock.distribution;

import java.util.List;

/**
 * What leads from one version to a later one.
 *
 * @param base what it fits on: this version with this digest, and no other
 * @param digest of the result
 * @param format of the result
 */
public record Delta(Version base, Digest baseDigest, Version result, Digest digest, int format, List<Change> changes) {

    /** Bytes beside the changes. */
    static final int HEAD = 2 * (Version.BYTES + Digest.BYTES) + 8;

    public Delta {
        changes = List.copyOf(changes);
    }

    /** What leads from one configuration to the other. */
    static Delta between(Configuration from, Configuration to) {
        return new Delta(from.version(), from.digest(), to.version(), to.digest(), to.format(), from.changesTo(to));
    }

    /** Whether it may be applied to this configuration. */
    public boolean fits(Configuration configuration) {
        return base.equals(configuration.version()) && baseDigest.equals(configuration.digest());
    }

    /** Bytes on the wire. */
    int bytes() {
        return HEAD + changes.stream().mapToInt(Change::bytes).sum();
    }
}
