package pepperdock.membership;

/** What the machine wants done, or tells. */
public sealed interface Output {

    /** Send a datagram. */
    record Send(String address, Message message) implements Output {}

    /** Open a stream there, send {@link Membership#digest}, hand what comes back to {@link Membership#exchanged}. */
    record Exchange(String address) implements Output {}

    /** Told once each, in the order of their numbers. */
    record Changed(View.Change change) implements Output {}

    /** Whether this member reaches a majority has changed. */
    record Sure(boolean sure, int reached, int fleet) implements Output {}

    /** For the log and for checkers: {@code refuted}, {@code paused}, {@code taken}, {@code claimed}. */
    record Noted(String what, String why, double amount) implements Output {}
}
