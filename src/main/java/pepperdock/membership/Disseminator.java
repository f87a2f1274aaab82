package pepperdock.membership;

import java.util.List;

/**
 * Merges items into the table and spreads new ones by gossip that is piggybacked on pings and acknowledgements, as in
 * SWIM, section 4.1 (infection-style dissemination). Owned by the thread that calls {@link Membership}.
 */
final class Disseminator {

    /** Probe intervals after which an item that was sent at least once is no longer gossiped. */
    private static final int MAX_AGE_PROBE_INTERVALS = 10;

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

    /** Merges an item, and gossips it if it was new. */
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

    /** Replaces this member's own record, which nobody has been sent yet, by that of another process. */
    void replaceUnpublished(MemberRecord successor, double now) {
        table.replaceUnpublished(successor, now);
        states.recordChanged(successor.name());
        queue.add(successor, now);
    }

    /** Drops old items from the queue. */
    void expire(double now) {
        queue.expire(now - MAX_AGE_PROBE_INTERVALS * settings.probeIntervalS());
    }

    /** Takes gossip that fits into this message, from the budget that pings and acknowledgements leave. */
    List<GossipItem> piggyback(Message withoutGossip) {
        int maxBytes = Math.min(
                MembershipSettings.DATAGRAM_BYTES,
                budget.availableBytes(BandwidthBudget.Use.GOSSIP) - Outbox.UDP_AND_IP_BYTES);
        return queue.take(
                maxBytes - withoutGossip.maxEncodedBytes(),
                table.rings().names().size());
    }

    /** Returns when an item last changed the table. */
    double lastChange() {
        return lastChange;
    }
}
