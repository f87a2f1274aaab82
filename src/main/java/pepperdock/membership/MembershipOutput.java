package pepperdock.membership;

/** What the machine wants done, or tells. */
public sealed interface MembershipOutput {

    /** Send a datagram. */
    record SendDatagram(String address, Message message) implements MembershipOutput {}

    /** Open a stream there, send {@link Membership#openExchange}, hand what comes back to {@link Membership#onStreamMessage}. */
    record OpenExchange(String address) implements MembershipOutput {}

    /** Told once each, in the order of their numbers. */
    record MemberChanged(MembershipView.Change change) implements MembershipOutput {}

    /** Whether this member reaches a majority has changed. */
    record MajorityChanged(boolean hasMajority, int reachable, int fleetSize) implements MembershipOutput {}

    /** For the log and for checkers: {@code refuted}, {@code paused}, {@code taken}, {@code claimed}. */
    record Notice(String kind, String reason, double amount) implements MembershipOutput {}
}
