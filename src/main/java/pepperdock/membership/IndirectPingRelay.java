package pepperdock.membership;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import pepperdock.membership.Message.Ack;
import pepperdock.membership.Message.IndirectAck;
import pepperdock.membership.Message.IndirectPing;
import pepperdock.membership.Message.Ping;

/**
 * Pings subjects on behalf of other members, and relays their acknowledgements: the {@code ping-req} of SWIM, section
 * 3.1. Requests are bounded in number and in time. Owned by the thread that calls {@link Membership}.
 */
final class IndirectPingRelay {

    /** Sequence numbers above this one are of pings sent on behalf of others; those below are of this member's own. */
    private static final long FIRST_SEQUENCE = 1L << 40;

    private static final int MAX_PENDING = 256;

    private record Pending(String requester, String subject, long generation, long sequence, double deadline) {}

    private final MembershipSettings settings;
    private final Outbox outbox;
    private final Map<Long, Pending> pending = new HashMap<>();
    private long lastSequence = FIRST_SEQUENCE;

    IndirectPingRelay(MembershipSettings settings, Outbox outbox) {
        this.settings = settings;
        this.outbox = outbox;
    }

    /** Pings the subject, unless too many such pings are in progress. */
    void onRequest(IndirectPing request, double now) {
        if (pending.size() >= MAX_PENDING) {
            expire(now);
        }
        if (pending.size() >= MAX_PENDING) {
            return;
        }
        lastSequence++;
        pending.put(
                lastSequence,
                new Pending(
                        request.header().address(),
                        request.subject(),
                        request.generation(),
                        request.sequence(),
                        now + settings.suspicionTimeoutS()));
        Ping ping = new Ping(outbox.header(), request.subject(), request.generation(), lastSequence, List.of());
        outbox.send(request.address(), ping, BandwidthBudget.Use.INDIRECT);
    }

    /** Returns whether an acknowledgement is of a ping sent on behalf of another member. */
    boolean isRelayed(Ack ack) {
        return ack.sequence() >= FIRST_SEQUENCE;
    }

    /** Relays an acknowledgement to the member that requested the ping. */
    void onAck(Ack ack) {
        Pending request = pending.remove(ack.sequence());
        if (request != null
                && request.subject().equals(ack.header().name())
                && request.generation() == ack.header().generation()) {
            IndirectAck indirectAck =
                    new IndirectAck(outbox.header(), request.subject(), request.generation(), request.sequence());
            outbox.send(request.requester(), indirectAck, BandwidthBudget.Use.ACK);
        }
    }

    /** Drops requests that are past their deadline. */
    void expire(double now) {
        for (Iterator<Pending> iterator = pending.values().iterator(); iterator.hasNext(); ) {
            if (iterator.next().deadline() < now) {
                iterator.remove();
            }
        }
    }
}
