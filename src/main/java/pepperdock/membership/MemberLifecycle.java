package pepperdock.membership;

import java.util.Collection;

/**
 * This member's own record: joining, leaving, refuting a false verdict by the next incarnation (SWIM, section 4.2), and what
 * is done when another process has the same name. The process that held the name first keeps it; the other probes it, and
 * claims the name once it does not answer. Owned by the thread that calls {@link Membership}.
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

    /** Tells all members that this one leaves; a member that does not hold its name has nothing to tell. */
    void leave(double now) {
        local.setLeaving();
        if (local.hasRival()) {
            return;
        }
        publish(local.memberRecord().withStatus(RecordStatus.LEFT), now);
        for (String name : table.rings().names()) {
            if (!name.equals(local.name())) {
                outbox.pingUntracked(table.get(name).memberRecord());
            }
        }
    }

    /** Takes in what another member sent. */
    void receive(Collection<GossipItem> items, double now) {
        for (GossipItem item : items) {
            if (!item.name().equals(local.name())) {
                disseminator.merge(item, now);
            } else if (item instanceof MemberRecord memberRecord) {
                onOwnName(memberRecord, now);
            } else if (local.hasRival()) {
                disseminator.merge(item, now);
            }
        }
    }

    /** A record with this member's own name: a verdict on it, an earlier process of it, or a rival. */
    private void onOwnName(MemberRecord received, double now) {
        if (received.generation() == local.generation()) {
            if (isVerdictToRefute(received)) {
                refute(received, now);
            }
        } else if (local.hasRival()) {
            disseminator.merge(received, now);
        } else if ((received.supersedes(local.memberRecord()) || !local.joined()) && !local.leaving()) {
            if (canTakeNameOf(received)) {
                claimName(received.incarnation() + 1, now);
            } else {
                yieldTo(received, now);
            }
        }
    }

    private boolean isVerdictToRefute(MemberRecord received) {
        return received.status() == RecordStatus.FAULTY
                && received.incarnation() >= local.memberRecord().incarnation()
                && !local.leaving()
                && !local.hasRival();
    }

    private void refute(MemberRecord verdict, double now) {
        long incarnation = verdict.incarnation() + 1;
        outbox.emit(new MembershipOutput.Notice(MembershipOutput.Notice.REFUTED, "called gone", incarnation));
        claimName(incarnation, now);
    }

    /** Whether the holder of the name is no longer there, or was an earlier process at this very address. */
    private boolean canTakeNameOf(MemberRecord holder) {
        return holder.status() != RecordStatus.ALIVE || holder.address().equals(local.address());
    }

    private void yieldTo(MemberRecord rival, double now) {
        local.setRival(rival);
        detector.stopObserving();
        outbox.emit(
                new MembershipOutput.Notice(MembershipOutput.Notice.NAME_TAKEN, rival.address(), rival.incarnation()));
        if (local.joined()) {
            disseminator.merge(rival, now);
        } else {
            disseminator.replaceUnpublished(rival, now);
        }
    }

    /** While there is a rival: finds out whether it lives, and claims the name where it does not. */
    void contestName(double elapsed, double now) {
        MemberRecord holder = table.get(local.name()).memberRecord();
        if (holder.generation() != local.generation()) {
            local.setRival(holder);
        }
        MemberRecord rival = local.rival();
        detector.monitorRival(rival, now);
        if (canTakeNameOf(rival) || detector.isRivalUnreachable(now)) {
            claimName(rival.incarnation() + 1, now);
        } else {
            detector.probeRival(rival, elapsed, now);
        }
    }

    private void claimName(long incarnation, double now) {
        if (local.hasRival()) {
            outbox.emit(new MembershipOutput.Notice(
                    MembershipOutput.Notice.NAME_CLAIMED,
                    "the other process of this name does not answer",
                    incarnation));
        }
        local.setRival(null);
        detector.stopMonitoringRival();
        publish(local.memberRecord().aliveIn(incarnation), now);
    }
}
