package pepperdock.membership;

/** What {@link Membership} wants carried out or notified. */
public sealed interface MembershipOutput {

    /** Send a datagram. */
    record SendDatagram(String address, Message message) implements MembershipOutput {}

    /**
     * Open a stream there, send {@link Membership#openExchange} on it, hand what comes back to
     * {@link Membership#onStreamMessage}.
     */
    record OpenExchange(String address) implements MembershipOutput {}

    /** A member's state changed; notified once each, in the order of the changes' numbers. */
    record MemberChanged(MembershipView.Change change) implements MembershipOutput {}

    /** Whether this member reaches a majority has changed. */
    record MajorityChanged(boolean hasMajority, int reachable, int fleetSize) implements MembershipOutput {}

    /**
     * Something rare, for the log and for the test rig's checkers.
     *
     * @param kind one of the constants here, which are the names of the rig's events too
     * @param amount seconds of a pause, otherwise an incarnation
     */
    record Notice(String kind, String reason, double amount) implements MembershipOutput {

        /** This member was declared faulty, and takes its next incarnation. */
        public static final String REFUTED = "refuted";
        /** This member's own clock showed that it was paused. */
        public static final String PAUSED = "paused";
        /** Another process holds this member's name. */
        public static final String NAME_TAKEN = "taken";
        /** This member takes its name over from another process. */
        public static final String NAME_CLAIMED = "claimed";
    }
}
