package pepperdock.membership;

import java.util.List;

/**
 * Publishes the verdicts that the {@link CutDetector} derives from the table. A verdict is held back until most
 * subjects that are not to be declared faulty have been heard after the verdict became due. Also reports when this
 * member starts or stops reaching a majority. Owned by the thread that calls {@link Membership}.
 */
final class VerdictPublisher {

    private final LocalMember local;
    private final MembershipTable table;
    private final CutDetector cutDetector;
    private final FailureDetector failureDetector;
    private final Disseminator disseminator;
    private final Outbox outbox;
    /** Members to be declared faulty. */
    private List<String> due = List.of();

    /** Since when {@code due} has held exactly these members. */
    private double dueSince;

    private boolean hasMajority = true;
    private int reachable = 1;
    private int fleetSize = 1;

    VerdictPublisher(
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

    /** Runs the detection, and declares members faulty once their verdicts need not be held back any longer. */
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
        // A member that has just been cut off does not know it yet, and its table may be out of date.
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

    /** Returns whether this member reached a majority of the fleet at the last update. */
    boolean hasMajority() {
        return hasMajority;
    }

    /** Returns how many members this one reached at the last update, itself included. */
    int reachable() {
        return reachable;
    }

    /** Returns the fleet size of which a majority was required at the last update. */
    int fleetSize() {
        return fleetSize;
    }
}
