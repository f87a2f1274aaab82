package pepperdock.distribution;

import java.util.List;

/**
 * The changes from one version to a later one. Immutable.
 *
 * @param base the version that it applies to, with {@code baseDigest}, and no other
 * @param digest of the result
 * @param format of the result
 */
public record Delta(
        ConfigurationVersion base,
        ConfigurationDigest baseDigest,
        ConfigurationVersion result,
        ConfigurationDigest digest,
        int format,
        List<Change> changes) {

    /** Bytes beside the changes. */
    static final int HEADER_BYTES = 2 * (ConfigurationVersion.BYTES + ConfigurationDigest.BYTES) + 8;

    /** Copies the list. */
    public Delta {
        changes = List.copyOf(changes);
    }

    /** The changes from one configuration to the other. */
    static Delta between(ConfigurationSnapshot from, ConfigurationSnapshot to) {
        return new Delta(from.version(), from.digest(), to.version(), to.digest(), to.format(), from.changesTo(to));
    }

    /** Whether it may be applied to this configuration. */
    public boolean fits(ConfigurationSnapshot configuration) {
        return base.equals(configuration.version()) && baseDigest.equals(configuration.digest());
    }

    /** Bytes on the wire. */
    int bytes() {
        return HEADER_BYTES + changes.stream().mapToInt(Change::bytes).sum();
    }
}
