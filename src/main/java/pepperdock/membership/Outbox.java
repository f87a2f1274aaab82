package pepperdock.membership;

import java.util.List;
import pepperdock.membership.Message.Ack;
import pepperdock.membership.Message.Header;
import pepperdock.membership.Message.Ping;

/**
 * Collects the outputs that the caller is to carry out, and sends datagrams within the bandwidth budget. Owned by the
 * thread that calls {@link Membership}.
 */
final class Outbox {

    /** Headers of UDP and of IP version 4. */
    static final int UDP_AND_IP_BYTES = 28;

    private final LocalMember local;
    private final MembershipTable table;
    private final BandwidthBudget budget;
    private final Disseminator disseminator;
    private final List<MembershipOutput> outputs;

    Outbox(
            LocalMember local,
            MembershipTable table,
            BandwidthBudget budget,
            Disseminator disseminator,
            List<MembershipOutput> outputs) {
        this.local = local;
        this.table = table;
        this.budget = budget;
        this.disseminator = disseminator;
        this.outputs = outputs;
    }

    /** Returns the header of a message sent now. */
    Header header() {
        return local.header(table.stateDigest());
    }

    /** Adds an output that the budget does not limit. */
    void emit(MembershipOutput output) {
        outputs.add(output);
    }

    /** Sends a datagram; returns false if the budget withholds it. */
    boolean send(String address, Message message, BandwidthBudget.Use use) {
        boolean sent = budget.tryAcquireDatagram(use, message.maxEncodedBytes() + UDP_AND_IP_BYTES);
        if (sent) {
            emit(new MembershipOutput.SendDatagram(address, message));
        }
        return sent;
    }

    /** Pings a member only to carry gossip to it; the acknowledgement is ignored. */
    void pingUntracked(MemberRecord target) {
        ping(target, 0, false);
    }

    /**
     * Pings a member and piggybacks gossip; returns false if the budget withholds the ping.
     *
     * @param sameState whether the target has the same state digest, so that gossip would bring it nothing new
     */
    boolean ping(MemberRecord target, long sequence, boolean sameState) {
        Ping withoutGossip = new Ping(header(), target.name(), target.generation(), sequence, List.of());
        List<GossipItem> gossip = sameState ? List.of() : disseminator.piggyback(withoutGossip);
        Ping ping = new Ping(withoutGossip.header(), target.name(), target.generation(), sequence, gossip);
        return send(target.address(), ping, BandwidthBudget.Use.PROBE);
    }

    /** Acknowledges a ping, and piggybacks gossip if the sender of the ping holds another state. */
    void acknowledge(Ping ping) {
        Ack withoutGossip = new Ack(header(), ping.sequence(), List.of());
        boolean sameState = ping.header().stateDigest() == table.stateDigest();
        List<GossipItem> gossip = sameState ? List.of() : disseminator.piggyback(withoutGossip);
        Ack ack = new Ack(withoutGossip.header(), ping.sequence(), gossip);
        send(ping.header().address(), ack, BandwidthBudget.Use.ACK);
    }
}
