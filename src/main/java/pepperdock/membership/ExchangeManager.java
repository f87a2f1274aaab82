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
 * Decides when this member opens an anti-entropy exchange, and answers the messages of exchanges in progress. An
 * exchange is opened with a member whose table has differed for longer than gossip takes to settle that; while
 * exchanges bring nothing new, they are opened less and less often. Owned by the thread that calls {@link Membership}.
 */
final class ExchangeManager {

    /** Usual upper bound of the bytes of the segment headers that one side of an exchange sends. */
    private static final int STREAM_OVERHEAD_BYTES = 200;
    /** Most doublings of the time to the next exchange; each exchange that brings nothing new doubles it once. */
    private static final int MAX_BACKOFF_DOUBLINGS = 2;
    /** Minimum number of changes from one exchange after which the next does not wait for gossip to settle. */
    private static final int CHANGES_WHEN_BEHIND = 4;
    /** Probe intervals in which gossip usually settles a change. */
    private static final int SETTLE_PROBE_INTERVALS = 2;
    /** Settle times after which a difference leads to an exchange even while the table still changes. */
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
    /** Exchanges opened since the last one that brought anything new. */
    private int unproductiveExchanges;

    private double nextExchange;
    /** Since when another member's table has differed; NaN while none does. */
    private double mismatchSince = Double.NaN;
    /** Whether the last exchange brought so much that there is probably more. */
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

    /**
     * Opens an exchange if the budget has room for one. The time to the next one doubles, up to a limit, while
     * exchanges bring nothing new.
     */
    void open(String address, double now) {
        nextExchange = now + 2 * settings.probeIntervalS() * backoffFactor() * (0.75 + random.nextDouble() / 2);
        int needed =
                STREAM_OVERHEAD_BYTES + antiEntropy.opening(outbox.header()).maxEncodedBytes();
        if (budget.availableBytes(BandwidthBudget.Use.EXCHANGE) >= needed) {
            unproductiveExchanges++;
            mismatchSince = Double.NaN;
            outbox.emit(new MembershipOutput.OpenExchange(address));
        }
    }

    /** Returns the factor that waits are multiplied by while exchanges bring nothing new. */
    int backoffFactor() {
        return 1 << Math.min(MAX_BACKOFF_DOUBLINGS, unproductiveExchanges);
    }

    /** Returns whether an exchange was opened since the last one that brought anything new. */
    boolean lastWasUnproductive() {
        return unproductiveExchanges > 0;
    }

    /**
     * Opens an exchange with the sender of a datagram if the table does not show the sender as alive in its present
     * generation and incarnation, or if the tables have differed for longer than gossip takes to settle that.
     */
    void openIfDiffering(Header header, double now) {
        boolean unknownState = isUnknownState(header);
        if (header.stateDigest() == table.stateDigest() && !unknownState) {
            mismatchSince = Double.NaN;
            return;
        }
        if (Double.isNaN(mismatchSince)) {
            mismatchSince = now;
        }
        if ((unknownState || isSettled(now) || behind) && now >= nextExchange) {
            open(header.address(), now);
        }
    }

    private boolean isUnknownState(Header header) {
        MembershipTable.Entry entry = table.get(header.name());
        return entry == null
                || !entry.isAlive()
                || entry.memberRecord().generation() != header.generation()
                || entry.memberRecord().incarnation() < header.incarnation();
    }

    private boolean isSettled(double now) {
        double settleTime = SETTLE_PROBE_INTERVALS * settings.probeIntervalS();
        double mismatchTime = now - mismatchSince;
        return now - disseminator.lastChange() > settleTime && mismatchTime > settleTime
                || mismatchTime > MAX_SETTLE_FACTOR * settleTime;
    }

    /** Returns the first message of an exchange that this member opens. */
    Message firstMessage() {
        Message first = antiEntropy.opening(outbox.header());
        budget.chargeStream(STREAM_OVERHEAD_BYTES + first.maxEncodedBytes());
        return first;
    }

    /** Returns the answer to a message of an exchange, or null if the stream is to be closed. */
    Message onMessage(Message message, double now) {
        Message response = responseTo(message, now);
        if (response != null) {
            boolean firstOfThisSide = response instanceof SliceSelection || response instanceof DigestResponse;
            budget.chargeStream(response.maxEncodedBytes() + (firstOfThisSide ? STREAM_OVERHEAD_BYTES : 0));
        }
        return response;
    }

    private Message responseTo(Message message, double now) {
        int availableBytes = budget.availableBytes(BandwidthBudget.Use.EXCHANGE) - STREAM_OVERHEAD_BYTES;
        if (message instanceof MissingItems missing) {
            receive(missing.items(), now);
            return null;
        }
        if (message instanceof DigestResponse response) {
            receive(response.items(), now);
            return antiEntropy.missingItems(
                    outbox.header(), response, Math.max(availableBytes, AntiEntropy.MIN_RESPONSE_BYTES));
        }
        if (availableBytes < AntiEntropy.MIN_RESPONSE_BYTES) {
            return null;
        }
        if (message instanceof SliceDigests digests) {
            return antiEntropy.differingSlices(outbox.header(), digests);
        }
        if (message instanceof SliceSelection selection) {
            return antiEntropy.digestRequest(outbox.header(), selection);
        }
        if (message instanceof DigestRequest request) {
            return digestResponse(request, availableBytes);
        }
        return null;
    }

    private DigestResponse digestResponse(DigestRequest request, int availableBytes) {
        // Many members may start at the same time, so half of the available bytes is left for the next of them.
        boolean newcomer = request.digests().size() <= 1;
        int maxBytes = newcomer ? Math.max(availableBytes / 2, AntiEntropy.MIN_RESPONSE_BYTES) : availableBytes;
        return antiEntropy.digestResponse(outbox.header(), request, local.joined(), maxBytes);
    }

    /** Sends a new member the items held under its name and a few other members, if the budget has room for it. */
    void onJoin(Header newcomer) {
        int availableBytes = Math.min(
                MembershipSettings.DATAGRAM_BYTES,
                budget.availableBytes(BandwidthBudget.Use.JOIN_RESPONSE) - Outbox.UDP_AND_IP_BYTES);
        if (availableBytes >= AntiEntropy.MIN_RESPONSE_BYTES) {
            JoinResponse response =
                    antiEntropy.joinResponse(outbox.header(), newcomer.name(), local.joined(), availableBytes);
            outbox.send(newcomer.address(), response, BandwidthBudget.Use.JOIN_RESPONSE);
        }
    }

    /** Merges the items that an exchange, or the answer to a join, brought. */
    void receive(List<GossipItem> items, double now) {
        long before = table.version();
        lifecycle.receive(items, now);
        local.setJoined();
        behind = table.version() - before >= CHANGES_WHEN_BEHIND;
        if (table.version() != before) {
            unproductiveExchanges = 0;
        }
    }
}
