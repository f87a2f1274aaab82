package pepperdock.membership;

/** What is gossiped and exchanged: a member's record, or its observations. Both are written by the member that they name. */
public sealed interface GossipItem permits MemberRecord, Observations {

    /** The member that it is of. */
    String name();

    /** Bytes that it takes on the wire, at most. */
    int maxEncodedBytes();
}
