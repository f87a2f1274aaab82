package pepperdock.membership;

/** What a view says of a member. */
public enum Standing {
    /** Reached by all who observe it. */
    HERE,
    /** Most who observe it say that it answers late. */
    SLOW,
    /** Some who observe it do not reach it directly; others do, or not enough agree that it is gone. */
    CUT_OFF,
    /** Enough agreed; it may come back under a new incarnation. */
    GONE,
    /** It said so itself. */
    LEFT
}
