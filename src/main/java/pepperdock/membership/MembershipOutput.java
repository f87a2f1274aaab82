package pepperdock.membership;

/** An action that the caller of {@link Membership} is to carry out, or an event that it is to report. */
public sealed interface MembershipOutput {

    /** A datagram to send. */
    record SendDatagram(String address, Message message) implements MembershipOutput {}

    /**
     * A stream to open to this address. The caller sends {@link Membership#openExchange} on it, and passes what comes
     * back to {@link Membership#onStreamMessage}.
     */
    record OpenExchange(String address) implements MembershipOutput {}

    /** A change of a member's state; each is reported once, in the order of the changes' numbers. */
    record MemberChanged(MembershipView.Change change) implements MembershipOutput {}

    /** Reports that this member starts or stops reaching a majority of the fleet. */
    record MajorityChanged(boolean hasMajority, int reachable, int fleetSize) implements MembershipOutput {}

    /**
     * A rare event, for the log and for the test rig's checkers.
     *
     * @param kind one of the constants here, which are also the names of the rig's events
     * @param amount seconds of a pause, otherwise an incarnation
     */
    record Notice(String kind, String reason, double amount) implements MembershipOutput {

        /** This member was declared faulty, and refutes that by its next incarnation. */
        public static final String REFUTED = "refuted";
        /** This member's own clock showed that it was paused. */
        public static final String PAUSED = "paused";
        /** Another process holds this member's name. */
        public static final String NAME_TAKEN = "taken";
        /** This member takes its name over from another process. */
        public static final String NAME_CLAIMED = "claimed";
    }
}
