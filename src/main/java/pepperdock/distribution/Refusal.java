package pepperdock.distribution;

/**
 * Why a subscriber does not put a version in force.
 *
 * @param detail for the operator; 200 characters at most
 */
public record Refusal(Version version, Reason reason, String detail) {

    private static final int DETAIL_MOST = 200;

    public Refusal {
        detail = detail.length() > DETAIL_MOST ? detail.substring(0, DETAIL_MOST) : detail;
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
