package pepperdock.membership;

/**
 * A unit of gossip and of anti-entropy exchange: a member's record, or its observations. Both are written by the member
 * that they name, except for a faulty verdict.
 */
public sealed interface GossipItem permits MemberRecord, Observations {

    /** Returns the name of the member that this item belongs to. */
    String name();

    /** Returns the most bytes that this item takes on the wire. */
    int maxEncodedBytes();
}
