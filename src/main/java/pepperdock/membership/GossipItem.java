package pepperdock.membership;

/** What is gossiped. */
public sealed interface GossipItem permits MemberRecord, Observations {

    /** Whose it is. */
    String name();

    /** Bytes that it takes on the wire, at most. */
    int maxEncodedBytes();
}
