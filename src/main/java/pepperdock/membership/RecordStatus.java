package pepperdock.membership;

/**
 * The status in a {@link MemberRecord}, SWIM's alive and faulty (section 4.2) and a graceful leave. At the same incarnation a
 * later constant supersedes an earlier one; the order is that of the numbers on the wire.
 */
public enum RecordStatus {
    /** Written by the member itself. */
    ALIVE("HERE"),
    /** Written by others that agreed on it; only the member's next incarnation takes it back. */
    FAULTY("GONE"),
    /** Written by the member itself when it shuts down. */
    LEFT("LEFT");

    private final String digestText;

    RecordStatus(String digestText) {
        this.digestText = digestText;
    }

    /** The text that goes into digests: members of all versions have to compute the same ones. */
    String digestText() {
        return digestText;
    }
}
