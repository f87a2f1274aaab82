package pepperdock.distribution;

/**
 * The reason why a subscriber does not put a version in force. Immutable.
 *
 * @param detail a description for the operator, truncated to 200 characters
 */
public record Refusal(ConfigurationVersion version, Reason reason, String detail) {

    private static final int MAX_DETAIL_LENGTH = 200;

    /** Creates a refusal and truncates its detail. */
    public Refusal {
        detail = detail.length() > MAX_DETAIL_LENGTH ? detail.substring(0, MAX_DETAIL_LENGTH) : detail;
    }

    /** The kinds of reasons. */
    public enum Reason {
        /** This program version does not support the format. */
        FORMAT,
        /** The validator rejects the configuration. */
        INVALID,
        /** The subscriber has the same version in force with a different content. */
        CONFLICT
    }
}
