package pepperdock.simulation.distribution;

/** A violation of a promise during a run. */
public record Finding(Promise promise, long at, String description) {

    /** The properties that must hold in every run. */
    public enum Promise {
        /** With the same disk, a gatherer never puts a version in force that is older than one before. */
        NEVER_BACKWARDS,
        /** The contents in force as a version are completely those that were settled as that version. */
        NEVER_HALF,
        /** At the end all gatherers have the newest settled version in force and on their disks. */
        ALL_LEVEL,
        /** Nothing that was acknowledged to an operator or a control machine is lost. */
        NOTHING_ACKNOWLEDGED_LOST,
        /** A gatherer that was cut off reports how old its version is. */
        AGE_TOLD,
        /** No gatherer receives and sends more bytes than its budget in any second. */
        WITHIN_BUDGET,
        /** Each change is in force at each reachable gatherer within a limit of simulated time. */
        WITHIN_TIME
    }

    @Override
    public String toString() {
        return promise + " at " + at + " ms: " + description;
    }
}
