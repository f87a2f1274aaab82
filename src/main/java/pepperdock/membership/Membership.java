package pepperdock.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import pepperdock.membership.Message.Ack;
import pepperdock.membership.Message.Header;
import pepperdock.membership.Message.IndirectAck;
import pepperdock.membership.Message.IndirectPing;
import pepperdock.membership.Message.Join;
import pepperdock.membership.Message.JoinResponse;
import pepperdock.membership.Message.Ping;
import pepperdock.membership.Message.WrongAddressee;

/**
 * One member's side of the membership protocol, as a deterministic state machine. It takes messages and the time, and
 * returns {@link MembershipOutput}s. It has no clock, sockets or threads, and random numbers come only from the seed:
 * the same inputs give the same outputs.
 *
 * <p>The caller passes every datagram to {@link #onDatagram}, every message from a stream to {@link #onStreamMessage},
 * and the time to {@link #tick} every {@link MembershipSettings#tickS} or as soon after that as it can. After each of
 * these calls it carries out what {@link #takeOutputs} returns. Times are seconds of any clock that never goes back.
 *
 * <p>All calls come from one thread, which owns the state of this class and of all its parts: {@link FailureDetector}
 * probes (SWIM, Das, Gupta, Motivala 2002, with the local health of Lifeguard, Dadgar, Phillips, Currey 2018),
 * {@link Disseminator} gossips, {@link ExchangeManager} and {@link PeerDiscovery} do anti-entropy,
 * {@link VerdictPublisher} declares members faulty (cut detection of Rapid, Suresh and others 2018),
 * {@link MemberLifecycle} joins, leaves and refutes.
 *
 * <p>Guarantees: each change is reported once, in the order of the numbers; a member's incarnation never goes back; a
 * member that hears that it was declared faulty refutes it; a member that does not reach a majority declares nobody
 * faulty; what is sent stays within the settings' budget.
 */
public final class Membership {

    private final MembershipSettings settings;
    private final LocalMember local;
    private final MembershipTable table;
    private final BandwidthBudget budget;
    private final List<MembershipOutput> outputs = new ArrayList<>();
    private final MemberStateTracker states;
    private final Disseminator disseminator;
    private final Outbox outbox;
    private final FailureDetector detector;
    private final IndirectPingRelay relay;
    private final MemberLifecycle lifecycle;
    private final ExchangeManager exchanges;
    private final PeerDiscovery discovery;
    private final VerdictPublisher verdicts;
    private double lastTick;
    private double nextCleanup;
    private long foreignMessages;

    /**
     * @param seeds addresses of members that may be running already; this member's own address among them is ignored
     * @param seed seed of the random numbers
     */
    public Membership(
            MembershipSettings settings, String fleet, MemberRecord self, List<String> seeds, long seed, double now) {
        this.settings = settings;
        Random random = new Random(seed);
        local = new LocalMember(fleet, self);
        table = new MembershipTable(settings.maxMembers(), settings.observers());
        budget = new BandwidthBudget(settings, now);
        states = new MemberStateTracker(table, change -> outputs.add(new MembershipOutput.MemberChanged(change)));
        disseminator = new Disseminator(settings, table, budget, states);
        outbox = new Outbox(local, table, budget, disseminator, outputs);
        detector = new FailureDetector(settings, local, table, random, outbox, disseminator);
        relay = new IndirectPingRelay(settings, outbox);
        lifecycle = new MemberLifecycle(local, table, disseminator, detector, outbox);
        exchanges = new ExchangeManager(settings, local, table, random, budget, disseminator, lifecycle, outbox);
        discovery = new PeerDiscovery(settings, seeds, local, table, random, exchanges, outbox, now);
        verdicts = new VerdictPublisher(local, table, new CutDetector(settings, table), detector, disseminator, outbox);
        lastTick = now;
        nextCleanup = now;
        lifecycle.publish(self, now);
    }

    // ---- Results ------------------------------------------------------------

    /** Returns the outputs since the last call, in the order in which the caller is to process them. */
    public List<MembershipOutput> takeOutputs() {
        List<MembershipOutput> taken = List.copyOf(outputs);
        outputs.clear();
        return taken;
    }

    /** Returns all members as this one sees them now. */
    public MembershipView view() {
        List<MembershipView.Member> members = new ArrayList<>();
        for (MembershipTable.Entry entry : table.entries()) {
            members.add(viewOf(entry));
        }
        return new MembershipView(
                states.number(),
                local.name(),
                verdicts.hasMajority(),
                verdicts.reachable(),
                verdicts.fleetSize(),
                local.hasNameConflict() ? local.nameHolder().address() : "",
                members);
    }

    private MembershipView.Member viewOf(MembershipTable.Entry entry) {
        MemberRecord member = entry.memberRecord();
        return new MembershipView.Member(
                member.name(),
                member.zone(),
                member.machine(),
                member.address(),
                member.generation(),
                member.incarnation(),
                states.of(member.name()),
                entry.since(),
                Map.copyOf(table.observationsOf(member.name())));
    }

    /** Returns this member's own record. */
    public MemberRecord self() {
        return local.memberRecord();
    }

    /**
     * Returns a digest of the items of all members that are alive. It is equal for two members that hold the same
     * items.
     */
    public long stateDigest() {
        return table.stateDigest();
    }

    /**
     * Returns counts since the start: datagrams sent; bytes sent, with headers and streams; datagrams withheld by the
     * budget; messages of other fleets.
     */
    public long[] counts() {
        return new long[] {budget.sentDatagrams(), budget.sentBytes(), budget.withheldDatagrams(), foreignMessages};
    }

    // ---- Time ------------------------------------------------------------

    /** Does all work that is due. To be called at least every {@link MembershipSettings#tickS}. */
    public void tick(double now) {
        budget.refill(now);
        double elapsed = now - lastTick;
        lastTick = now;
        if (settings.localHealthEnabled()) {
            detector.onTick(elapsed - settings.tickS(), now);
        }
        if (now >= nextCleanup) {
            nextCleanup = now + settings.suspicionTimeoutS();
            table.removeExpired(now - settings.retentionS(), local.name());
            states.forgetUnknown();
            relay.expire(now);
        }
        disseminator.expire(now);
        discovery.onTick(now);
        if (local.hasNameConflict()) {
            lifecycle.contestName(elapsed, now);
        } else if (!local.leaving()) {
            detector.probeSubjects(elapsed, now);
            detector.publishObservations(now);
            verdicts.update(now);
        }
        states.publish();
    }

    /** Tells all members that this one leaves. It goes on answering until the caller stops it. */
    public void leave(double now) {
        lifecycle.leave(now);
        if (!local.hasNameConflict()) {
            states.publish();
        }
    }

    // ---- Messages ------------------------------------------------------------

    /** Processes a datagram; one that is late, repeated or out of order does no harm. */
    public void onDatagram(Message message, double now) {
        if (!isAccepted(message.header())) {
            return;
        }
        budget.refill(now);
        detector.onHeader(message.header(), now);
        if (message instanceof Join join) {
            exchanges.onJoin(join.header());
            return;
        }
        if (message instanceof JoinResponse response) {
            exchanges.receive(response.items(), now);
        } else {
            dispatch(message, now);
            exchanges.openIfDiffering(message.header(), now);
        }
        states.publish();
    }

    private void dispatch(Message message, double now) {
        if (message instanceof Ping ping) {
            onPing(ping);
            lifecycle.receive(ping.gossip(), now);
        } else if (message instanceof Ack ack) {
            onAck(ack, now);
            lifecycle.receive(ack.gossip(), now);
        } else if (message instanceof IndirectPing request) {
            relay.onRequest(request, now);
        } else if (message instanceof IndirectAck ack) {
            detector.onIndirectAck(ack, now);
        } else if (message instanceof WrongAddressee wrongAddressee) {
            detector.onWrongAddressee(wrongAddressee);
        }
    }

    /**
     * Acknowledges a ping for this process. One that has yielded its name is not the member of that name: if it
     * acknowledged, two processes that have yielded to each other would each take the other one for the holder.
     */
    private void onPing(Ping ping) {
        boolean forThisProcess = ping.target().equals(local.name()) && ping.generation() == local.generation();
        if (forThisProcess && !local.hasNameConflict()) {
            outbox.acknowledge(ping);
        } else {
            outbox.send(
                    ping.header().address(),
                    new WrongAddressee(outbox.header(), ping.target(), ping.generation()),
                    BandwidthBudget.Use.ACK);
        }
    }

    private void onAck(Ack ack, double now) {
        if (relay.isRelayed(ack)) {
            relay.onAck(ack);
        } else {
            detector.onAck(ack, now);
        }
    }

    private boolean isAccepted(Header header) {
        if (!header.fleet().equals(local.fleet())) {
            foreignMessages++;
            return false;
        }
        return header.generation() != local.generation();
    }

    /** Returns the first message of an exchange that this member opens. */
    public Message openExchange() {
        return exchanges.firstMessage();
    }

    /**
     * Processes a message from a stream. Returns the answer to send on it, or null if the stream is to be closed: after
     * the last message, or if the budget has no room for an answer. The other side then tries again, with this member
     * or another one.
     */
    public Message onStreamMessage(Message message, double now) {
        if (!isAccepted(message.header())) {
            return null;
        }
        budget.refill(now);
        Message response = exchanges.onMessage(message, now);
        states.publish();
        return response;
    }
}
