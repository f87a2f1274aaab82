package pepperdock.membership;

import java.util.List;

/**
 * Carries out what the {@link CutDetector} reads from the table: verdicts are held back until most of the other subjects
 * have been heard since they were due, and whether this member reaches a majority is told when it changes. Owned by the thread
 * that calls {@link Membership}.
 */
final class VerdictLog {

    private final LocalMember local;
    private final MembershipTable table;
    private final CutDetector cutDetector;
    private final FailureDetector failureDetector;
    private final Disseminator disseminator;
    private final Outbox outbox;
    /** Members to be declared faulty, and since when just these. */
    private List<String> due = List.of();

    private double dueSince;
    private boolean hasMajority = true;
    private int reachable = 1;
    private int fleetSize = 1;

    VerdictLog(
            LocalMember local,
            MembershipTable table,
            CutDetector cutDetector,
            FailureDetector failureDetector,
            Disseminator disseminator,
            Outbox outbox) {
        this.local = local;
        this.table = table;
        this.cutDetector = cutDetector;
        this.failureDetector = failureDetector;
        this.disseminator = disseminator;
        this.outbox = outbox;
    }

    /** Detects anew, and declares those faulty whose time has come. */
    void update(double now) {
        CutDetector.Detection detection = cutDetector.detect(
                local.name(), table.get(local.name()).observations().unhealthy(), now);
        if (detection.hasMajority() != hasMajority) {
            outbox.emit(new MembershipOutput.MajorityChanged(
                    detection.hasMajority(), detection.reachable(), detection.fleetSize()));
        }
        hasMajority = detection.hasMajority();
        reachable = detection.reachable();
        fleetSize = detection.fleetSize();
        if (!detection.faulty().equals(due)) {
            due = detection.faulty();
            dueSince = now;
        }
        // A member that has just been cut off does not know it yet, and what it holds of others may be out of date.
        if (!due.isEmpty() && failureDetector.majorityHeardAfter(dueSince, due)) {
            declareFaulty(now);
        }
    }

    private void declareFaulty(double now) {
        for (String name : due) {
            disseminator.merge(table.get(name).memberRecord().withStatus(RecordStatus.FAULTY), now);
        }
        due = List.of();
    }

    /** Whether this member reached a majority of the fleet at the last update. */
    boolean hasMajority() {
        return hasMajority;
    }

    /** Members that this one reached at the last update, itself included. */
    int reachable() {
        return reachable;
    }

    /** Members that a majority was counted of at the last update. */
    int fleetSize() {
        return fleetSize;
    }
}
