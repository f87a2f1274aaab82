package pepperdock.distribution;

import java.util.List;

/**
 * The changes from one version to a later one. Immutable.
 *
 * @param base the only version that the delta applies to, together with {@code baseDigest}
 * @param digest the digest of the result
 * @param format the format of the result
 */
public record Delta(
        ConfigurationVersion base,
        ConfigurationDigest baseDigest,
        ConfigurationVersion result,
        ConfigurationDigest digest,
        int format,
        List<Change> changes) {

    /** The bytes of all fields but the changes. */
    static final int HEADER_BYTES = 2 * (ConfigurationVersion.BYTES + ConfigurationDigest.BYTES) + 8;

    /** Copies the list. */
    public Delta {
        changes = List.copyOf(changes);
    }

    /** Returns the delta from one configuration to another. */
    static Delta between(ConfigurationSnapshot from, ConfigurationSnapshot to) {
        return new Delta(from.version(), from.digest(), to.version(), to.digest(), to.format(), from.changesTo(to));
    }

    /** Returns whether the delta may be applied to this configuration. */
    public boolean fits(ConfigurationSnapshot configuration) {
        return base.equals(configuration.version()) && baseDigest.equals(configuration.digest());
    }

    /** Returns the bytes of the delta on the wire. */
    int bytes() {
        return HEADER_BYTES + changes.stream().mapToInt(Change::bytes).sum();
    }
}
