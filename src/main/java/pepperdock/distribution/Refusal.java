package pepperdock.distribution;

/**
 * Why a subscriber does not put a version in force.
 *
 * @param detail for the operator
 */
public record Refusal(Version version, Reason reason, String detail) {

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
