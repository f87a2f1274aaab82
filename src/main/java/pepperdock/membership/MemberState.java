package pepperdock.membership;

/**
 * The state of a member in a view. The operators' words for the states are in
 * {@code membership.transport.MemberStateNames}.
 */
public enum MemberState {
    /** All of its observers reach it. */
    ALIVE,
    /** At least half of its observers say that it answers late. */
    SLOW,
    /** Some observers do not reach it directly, and not enough agree that it is faulty. */
    SUSPECT,
    /** Enough observers agreed that it is unreachable; it may come back in a new incarnation. */
    FAULTY,
    /** The member itself announced that it leaves. */
    LEFT
}
