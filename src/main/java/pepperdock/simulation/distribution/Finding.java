package pepperdock.simulation.distribution;

/** A promise that did not hold. */
public record Finding(Promise promise, long at, String what) {

    /** What must hold in every course. */
    public enum Promise {
        /** No gatherer puts a version in force that is not newer than all before, on the same disk. */
        NEVER_BACKWARDS,
        /** What is in force is, whole, what was settled as that version. */
        NEVER_HALF,
        /** At the end all have the newest settled version in force, and on their disks. */
        ALL_LEVEL,
        /** What an operator or a control machine was told stays. */
        NOTHING_ACKNOWLEDGED_LOST,
        /** A gatherer that was cut off says how old its version is. */
        AGE_TOLD,
        /** No gatherer is sent and sends more than its budget in any second. */
        WITHIN_BUDGET,
        /** Each change is in force, at each gatherer that can be reached, within so many milliseconds of simulated time. */
        WITHIN_TIME
    }

    @Override
    public String toString() {
        return promise + " at " + at + " ms: " + what;
    }
}
