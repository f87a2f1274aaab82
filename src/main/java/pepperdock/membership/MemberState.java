package pepperdock.membership;

/** What a view says of a member; the operators' words for these are in {@code membership.transport.MemberStateNames}. */
public enum MemberState {
    /** Reached by all who observe it. */
    ALIVE,
    /** At least half of its observers say that it answers late. */
    SLOW,
    /** Some observers do not reach it directly, and not enough agree that it is faulty. */
    SUSPECT,
    /** Enough observers agreed that it is not reached; it may come back in a new incarnation. */
    FAULTY,
    /** It said itself that it leaves. */
    LEFT
}
