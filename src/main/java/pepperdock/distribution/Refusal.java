package pepperdock.distribution;

/**
 * Why a subscriber does not put a version in force. Immutable.
 *
 * @param detail for the operator; 200 characters at most
 */
public record Refusal(ConfigurationVersion version, Reason reason, String detail) {

    private static final int MAX_DETAIL_LENGTH = 200;

    /** Truncates the detail. */
    public Refusal {
        detail = detail.length() > MAX_DETAIL_LENGTH ? detail.substring(0, MAX_DETAIL_LENGTH) : detail;
    }

    /** Kinds of refusal. */
    public enum Reason {
        /** This program version does not read the format. */
        FORMAT,
        /** The validator complains. */
        INVALID,
        /** The same version with another content is in force here. */
        CONFLICT
    }
}
