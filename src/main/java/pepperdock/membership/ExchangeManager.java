package pepperdock.membership;

import java.util.List;
import java.util.Random;
import pepperdock.membership.Message.DigestRequest;
import pepperdock.membership.Message.DigestResponse;
import pepperdock.membership.Message.Header;
import pepperdock.membership.Message.JoinResponse;
import pepperdock.membership.Message.MissingItems;
import pepperdock.membership.Message.SliceDigests;
import pepperdock.membership.Message.SliceSelection;

/**
 * Decides when this member opens an anti-entropy exchange, and answers the messages of those under way. An exchange is opened
 * with whoever holds something else for longer than gossip takes to settle that; those that bring nothing are opened less and
 * less often. Owned by the thread that calls {@link Membership}.
 */
final class ExchangeManager {

    /** Headers of the segments that one side of an exchange sends, at most as a rule. */
    private static final int STREAM_OVERHEAD_BYTES = 200;
    /** An exchange that brings nothing doubles the time to the next, so often at most. */
    private static final int MAX_BACKOFF_DOUBLINGS = 2;
    /** Changes in one exchange after which the next does not wait for gossip to settle. */
    private static final int CHANGES_WHEN_BEHIND = 4;
    /** Probe intervals in which gossip settles a change, as a rule. */
    private static final int SETTLE_PROBES = 2;
    /** Times that, after which a difference is exchanged also while the table still changes. */
    private static final int MAX_SETTLE_FACTOR = 5;

    private final MembershipSettings settings;
    private final LocalMember local;
    private final MembershipTable table;
    private final Random random;
    private final BandwidthBudget budget;
    private final Disseminator disseminator;
    private final MemberLifecycle lifecycle;
    private final Outbox outbox;
    private final AntiEntropy antiEntropy;
    /** Exchanges opened since one brought anything. */
    private int fruitless;

    private double nextExchange;
    /** Since when another member has held something else; NaN while none does. */
    private double mismatchSince = Double.NaN;
    /** The last exchange brought so much that there is probably more. */
    private boolean behind;

    ExchangeManager(
            MembershipSettings settings,
            LocalMember local,
            MembershipTable table,
            Random random,
            BandwidthBudget budget,
            Disseminator disseminator,
            MemberLifecycle lifecycle,
            Outbox outbox) {
        this.settings = settings;
        this.local = local;
        this.table = table;
        this.random = random;
        this.budget = budget;
        this.disseminator = disseminator;
        this.lifecycle = lifecycle;
        this.outbox = outbox;
        antiEntropy = new AntiEntropy(table, random);
    }

    /** Opens an exchange, unless the budget has no room for one; the next later and later while none brings anything. */
    void open(String address, double now) {
        nextExchange = now + 2 * settings.probeIntervalS() * backoffFactor() * (0.75 + random.nextDouble() / 2);
        int needed =
                STREAM_OVERHEAD_BYTES + antiEntropy.opening(outbox.header()).maxEncodedBytes();
        if (budget.availableBytes(BandwidthBudget.Use.EXCHANGE) >= needed) {
            fruitless++;
            mismatchSince = Double.NaN;
            outbox.emit(new MembershipOutput.OpenExchange(address));
        }
    }

    /** What waits are multiplied by while exchanges bring nothing. */
    int backoffFactor() {
        return 1 << Math.min(MAX_BACKOFF_DOUBLINGS, fruitless);
    }

    /** Whether an exchange was opened since the last that brought anything. */
    boolean lastWasFruitless() {
        return fruitless > 0;
    }

    /** Opens an exchange with the sender of a datagram where it has held something else for longer than gossip takes. */
    void compare(Header header, double now) {
        boolean unknownSender = isUnknown(header);
        if (header.stateDigest() == table.stateDigest() && !unknownSender) {
            mismatchSince = Double.NaN;
            return;
        }
        if (Double.isNaN(mismatchSince)) {
            mismatchSince = now;
        }
        if ((unknownSender || isSettled(now) || behind) && now >= nextExchange) {
            open(header.address(), now);
        }
    }

    private boolean isUnknown(Header header) {
        MembershipTable.Entry entry = table.get(header.name());
        return entry == null
                || !entry.isAlive()
                || entry.memberRecord().generation() != header.generation()
                || entry.memberRecord().incarnation() < header.incarnation();
    }

    private boolean isSettled(double now) {
        double settleTime = SETTLE_PROBES * settings.probeIntervalS();
        double differsFor = now - mismatchSince;
        return now - disseminator.lastChange() > settleTime && differsFor > settleTime
                || differsFor > MAX_SETTLE_FACTOR * settleTime;
    }

    /** The first message of an exchange that this member opens. */
    Message firstMessage() {
        Message first = antiEntropy.opening(outbox.header());
        budget.chargeStream(STREAM_OVERHEAD_BYTES + first.maxEncodedBytes());
        return first;
    }

    /** Answers a message of an exchange; null where the stream is to be closed. */
    Message onMessage(Message message, double now) {
        Message response = responseTo(message, now);
        if (response != null) {
            boolean firstOfThisSide = response instanceof SliceSelection || response instanceof DigestResponse;
            budget.chargeStream(response.maxEncodedBytes() + (firstOfThisSide ? STREAM_OVERHEAD_BYTES : 0));
        }
        return response;
    }

    private Message responseTo(Message message, double now) {
        int room = budget.availableBytes(BandwidthBudget.Use.EXCHANGE) - STREAM_OVERHEAD_BYTES;
        if (message instanceof MissingItems missing) {
            receive(missing.items(), now);
            return null;
        }
        if (message instanceof DigestResponse response) {
            receive(response.items(), now);
            return antiEntropy.missingItems(outbox.header(), response, Math.max(room, AntiEntropy.MIN_RESPONSE_BYTES));
        }
        if (room < AntiEntropy.MIN_RESPONSE_BYTES) {
            return null;
        }
        if (message instanceof SliceDigests digests) {
            return antiEntropy.differingSlices(outbox.header(), digests);
        }
        if (message instanceof SliceSelection selection) {
            return antiEntropy.digestRequest(outbox.header(), selection);
        }
        if (message instanceof DigestRequest request) {
            return digestResponse(request, room);
        }
        return null;
    }

    private DigestResponse digestResponse(DigestRequest request, int room) {
        // Many members may start at the same time: half of the room is left to the next of them.
        boolean newcomer = request.digests().size() <= 1;
        int maxBytes = newcomer ? Math.max(room / 2, AntiEntropy.MIN_RESPONSE_BYTES) : room;
        return antiEntropy.digestResponse(outbox.header(), request, local.joined(), maxBytes);
    }

    /** Tells a new member what is held of its name and a few of the others, where the budget has room for it. */
    void onJoin(Header newcomer) {
        int room = Math.min(
                MembershipSettings.DATAGRAM_BYTES,
                budget.availableBytes(BandwidthBudget.Use.JOIN_RESPONSE) - Outbox.UDP_AND_IP_BYTES);
        if (room >= AntiEntropy.MIN_RESPONSE_BYTES) {
            JoinResponse response = antiEntropy.joinResponse(outbox.header(), newcomer.name(), local.joined(), room);
            outbox.send(newcomer.address(), response, BandwidthBudget.Use.JOIN_RESPONSE);
        }
    }

    /** Takes in what an exchange, or the answer to a join, brought. */
    void receive(List<GossipItem> items, double now) {
        long before = table.version();
        lifecycle.receive(items, now);
        local.setJoined();
        behind = table.version() - before >= CHANGES_WHEN_BEHIND;
        if (table.version() != before) {
            fruitless = 0;
        }
    }
}
