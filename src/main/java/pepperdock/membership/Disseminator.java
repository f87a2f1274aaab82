package pepperdock.membership;

import java.util.List;

/**
 * Merges items into the table and spreads what is new by gossip that rides on pings and acknowledgements, as in SWIM,
 * section 4.1 (infection-style dissemination). Owned by the thread that calls {@link Membership}.
 */
final class Disseminator {

    /** Probe intervals after which an item that was sent at least once is no longer gossiped. */
    private static final int MAX_AGE_PROBES = 10;

    private final MembershipSettings settings;
    private final MembershipTable table;
    private final BandwidthBudget budget;
    private final MemberStateTracker states;
    private final GossipQueue queue = new GossipQueue();
    private double lastChange;

    Disseminator(
            MembershipSettings settings, MembershipTable table, BandwidthBudget budget, MemberStateTracker states) {
        this.settings = settings;
        this.table = table;
        this.budget = budget;
        this.states = states;
    }

    /** Merges an item, and gossips it where it was new. */
    void merge(GossipItem item, double now) {
        MembershipTable.Entry entry = table.get(item.name());
        Observations before = entry == null ? null : entry.observations();
        if (mergeIntoTable(item, now) == MembershipTable.MergeResult.UNCHANGED) {
            return;
        }
        if (item instanceof Observations observations) {
            states.observationsChanged(before.bySubject().keySet());
            states.observationsChanged(observations.bySubject().keySet());
        } else {
            states.recordChanged(item.name());
        }
        queue.add(item, now);
        lastChange = now;
    }

    private MembershipTable.MergeResult mergeIntoTable(GossipItem item, double now) {
        return item instanceof MemberRecord memberRecord
                ? table.merge(memberRecord, now)
                : table.merge((Observations) item);
    }

    /** Puts another process's record in place of this member's own, which nobody has been sent yet. */
    void replaceUnpublished(MemberRecord successor, double now) {
        table.replaceUnpublished(successor, now);
        states.recordChanged(successor.name());
        queue.add(successor, now);
    }

    /** Drops old items from the queue. */
    void expire(double now) {
        queue.expire(now - MAX_AGE_PROBES * settings.probeIntervalS());
    }

    /** Gossip that fits into this message, of what the budget leaves beside pings and acknowledgements. */
    List<GossipItem> piggyback(Message bare) {
        int room = Math.min(
                MembershipSettings.DATAGRAM_BYTES,
                budget.availableBytes(BandwidthBudget.Use.GOSSIP) - Outbox.UDP_AND_IP_BYTES);
        return queue.take(room - bare.maxEncodedBytes(), table.rings().names().size());
    }

    /** When an item last changed the table. */
    double lastChange() {
        return lastChange;
    }
}
