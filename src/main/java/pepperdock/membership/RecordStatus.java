package pepperdock.membership;

/**
 * The status in a {@link MemberRecord}: alive and faulty as in SWIM (section 4.2), and a graceful leave. At the same
 * incarnation a later constant supersedes an earlier one; the order is that of the numbers on the wire.
 */
public enum RecordStatus {
    /** Written by the member itself. */
    ALIVE("HERE"),
    /** Written by other members that agreed on it; only the member's next incarnation supersedes it. */
    FAULTY("GONE"),
    /** Written by the member itself when it shuts down. */
    LEFT("LEFT");

    private final String digestText;

    RecordStatus(String digestText) {
        this.digestText = digestText;
    }

    /** Returns the text that goes into digests: members of all versions have to compute the same ones. */
    String digestText() {
        return digestText;
    }
}
