package pepperdock.simulation.raft;

/**
 * One thing that happens. The numbers are taken modulo whatever there is when it happens, so that any part of a script is a
 * script: that is what lets a failing one be shortened.
 */
public record Step(Kind kind, int a, int b) {

    /** What happens; {@code a} says to whom, {@code b} what of it. */
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
        /** Everybody ticks once, and all that is under way arrives and is synced. */
        CALM,
        /** One ticks as often as it takes to lose its patience. */
        HASTE,
        /** One crashes and starts at once. */
        AGAIN
    }

    @Override
    public String toString() {
        return kind + " " + a + " " + b;
    }

    /** The same read back. */
    public static Step read(String line) {
        String[] words = line.strip().split(" ");
        return new Step(Kind.valueOf(words[0]), Integer.parseInt(words[1]), Integer.parseInt(words[2]));
    }
}
