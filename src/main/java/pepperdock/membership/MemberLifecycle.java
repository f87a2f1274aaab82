package pepperdock.membership;

import java.util.Collection;

/**
 * Maintains this member's own record: joins, leaves, refutes a false verdict by the next incarnation (SWIM, section
 * 4.2), and resolves the conflict when another process has the same name. The process that held the name first keeps
 * it; the other one probes it, and claims the name once it does not answer. Owned by the thread that calls
 * {@link Membership}.
 */
final class MemberLifecycle {

    private final LocalMember local;
    private final MembershipTable table;
    private final Disseminator disseminator;
    private final FailureDetector detector;
    private final Outbox outbox;

    MemberLifecycle(
            LocalMember local,
            MembershipTable table,
            Disseminator disseminator,
            FailureDetector detector,
            Outbox outbox) {
        this.local = local;
        this.table = table;
        this.disseminator = disseminator;
        this.detector = detector;
        this.outbox = outbox;
    }

    /** Makes this the member's own record, and gossips it. */
    void publish(MemberRecord memberRecord, double now) {
        local.setMemberRecord(memberRecord);
        disseminator.merge(memberRecord, now);
    }

    /** Marks this member as leaving, and tells all members unless another process holds its name. */
    void leave(double now) {
        local.setLeaving();
        if (local.hasNameConflict()) {
            return;
        }
        publish(local.memberRecord().withStatus(RecordStatus.LEFT), now);
        for (String name : table.rings().names()) {
            if (!name.equals(local.name())) {
                outbox.pingUntracked(table.get(name).memberRecord());
            }
        }
    }

    /** Processes the items that another member sent. */
    void receive(Collection<GossipItem> items, double now) {
        for (GossipItem item : items) {
            if (!item.name().equals(local.name())) {
                disseminator.merge(item, now);
            } else if (item instanceof MemberRecord memberRecord) {
                onOwnName(memberRecord, now);
            } else if (local.hasNameConflict()) {
                disseminator.merge(item, now);
            }
        }
    }

    /**
     * Handles a record with this member's own name: a verdict on it, or the record of an earlier or another process.
     */
    private void onOwnName(MemberRecord received, double now) {
        if (received.generation() == local.generation()) {
            if (isVerdictToRefute(received)) {
                refute(received, now);
            }
        } else if (local.hasNameConflict()) {
            disseminator.merge(received, now);
        } else if ((received.supersedes(local.memberRecord()) || !local.joined()) && !local.leaving()) {
            if (canTakeNameOf(received)) {
                claimName(received.incarnation() + 1, now);
            } else {
                yieldNameTo(received, now);
            }
        }
    }

    private boolean isVerdictToRefute(MemberRecord received) {
        return received.status() == RecordStatus.FAULTY
                && received.incarnation() >= local.memberRecord().incarnation()
                && !local.leaving()
                && !local.hasNameConflict();
    }

    private void refute(MemberRecord verdict, double now) {
        long incarnation = verdict.incarnation() + 1;
        outbox.emit(new MembershipOutput.Notice(
                MembershipOutput.Notice.REFUTED, "other members declared this one gone", incarnation));
        claimName(incarnation, now);
    }

    /** Returns whether the holder of the name is gone, or was an earlier process at this very address. */
    private boolean canTakeNameOf(MemberRecord holder) {
        return holder.status() != RecordStatus.ALIVE || holder.address().equals(local.address());
    }

    private void yieldNameTo(MemberRecord holder, double now) {
        local.setNameHolder(holder);
        detector.stopObserving();
        outbox.emit(new MembershipOutput.Notice(
                MembershipOutput.Notice.NAME_TAKEN, holder.address(), holder.incarnation()));
        if (local.joined()) {
            disseminator.merge(holder, now);
        } else {
            disseminator.replaceUnpublished(holder, now);
        }
    }

    /**
     * Checks, while another process holds the name, whether that process is alive, and claims the name if it is not.
     */
    void contestName(double elapsed, double now) {
        MemberRecord known = table.get(local.name()).memberRecord();
        if (known.generation() != local.generation()) {
            local.setNameHolder(known);
        }
        MemberRecord holder = local.nameHolder();
        detector.monitorNameHolder(holder, now);
        if (canTakeNameOf(holder) || detector.isNameHolderUnreachable(now)) {
            claimName(holder.incarnation() + 1, now);
        } else {
            detector.probeNameHolder(holder, elapsed, now);
        }
    }

    private void claimName(long incarnation, double now) {
        if (local.hasNameConflict()) {
            outbox.emit(new MembershipOutput.Notice(
                    MembershipOutput.Notice.NAME_CLAIMED,
                    "the other process of this name does not answer",
                    incarnation));
        }
        local.setNameHolder(null);
        detector.stopMonitoringNameHolder();
        publish(local.memberRecord().aliveIn(incarnation), now);
    }
}
