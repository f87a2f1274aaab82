package pepperdock.simulation.raft;

/**
 * One step of a simulation. Its numbers are taken modulo the number of choices at the time of the step, so that any
 * subsequence of a script is a valid script; this allows a failing script to be shortened.
 */
public record Step(Kind kind, int a, int b) {

    /**
     * The kind of a step; {@code a} selects the node or message that it affects, {@code b} a detail such as a second
     * node.
     */
    public enum Kind {
        TICK,
        DELIVER,
        DROP,
        TWICE,
        SYNC,
        PROPOSE,
        READ,
        COMPACT,
        CRASH,
        START,
        LOSE,
        FAIL,
        CUT,
        HEAL,
        TRANSFER,
        ADD,
        PROMOTE,
        REMOVE,
        /** Every node ticks once, and all messages in flight are delivered and all pending writes synced. */
        CALM,
        /** One node ticks until its election timeout has expired. */
        HASTE,
        /** One node crashes and restarts at once. */
        AGAIN
    }

    @Override
    public String toString() {
        return kind + " " + a + " " + b;
    }

    /** Parses a step from the text that {@link #toString} returns. */
    public static Step read(String line) {
        String[] words = line.strip().split(" ");
        return new Step(Kind.valueOf(words[0]), Integer.parseInt(words[1]), Integer.parseInt(words[2]));
    }
}
