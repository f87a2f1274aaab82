package pepperdock.membership.transport;

/** The numbers that identify kinds of messages and kinds of items on the wire. */
final class MessageKinds {

    static final int PING = 1;
    static final int ACK = 2;
    static final int WRONG_ADDRESSEE = 3;
    static final int INDIRECT_PING = 4;
    static final int INDIRECT_ACK = 5;
    static final int DIGEST_REQUEST = 6;
    static final int DIGEST_RESPONSE = 7;
    static final int MISSING_ITEMS = 8;
    static final int SLICE_DIGESTS = 9;
    static final int SLICE_SELECTION = 10;
    /**
     * A digest request for some slices. A request for all is a {@link #DIGEST_REQUEST}, which omits them on the wire.
     */
    static final int PARTIAL_DIGEST_REQUEST = 11;

    static final int JOIN = 12;
    static final int JOIN_RESPONSE = 13;

    static final int MEMBER_RECORD = 1;
    static final int OBSERVATIONS = 2;

    private MessageKinds() {}
}
