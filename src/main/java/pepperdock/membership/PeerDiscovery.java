package pepperdock.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import pepperdock.membership.Message.Join;

/**
 * Looks for members: at the seeds while this member is alone and now and then after that, by a full exchange with a member
 * drawn at intervals, and by a ping to one that was declared faulty and may be back. Owned by the thread that calls
 * {@link Membership}.
 */
final class PeerDiscovery {

    /** Probe intervals between two requests to a seed while alone, times the backoff. */
    private static final int ALONE_PROBES = 2;
    /** The same once there are other members. */
    private static final int TOGETHER_PROBES = 20;
    /** Probe intervals between two pings to members declared faulty. */
    private static final int FAULTY_PROBES = 4;

    private final MembershipSettings settings;
    private final List<String> seeds;
    private final LocalMember local;
    private final MembershipTable table;
    private final Random random;
    private final ExchangeManager exchanges;
    private final Outbox outbox;
    private double nextSeed;
    private double nextFullExchange;
    private double nextFaultyPing;

    PeerDiscovery(
            MembershipSettings settings,
            List<String> seeds,
            LocalMember local,
            MembershipTable table,
            Random random,
            ExchangeManager exchanges,
            Outbox outbox,
            double now) {
        this.settings = settings;
        this.seeds =
                seeds.stream().filter(seed -> !seed.equals(local.address())).toList();
        this.local = local;
        this.table = table;
        this.random = random;
        this.exchanges = exchanges;
        this.outbox = outbox;
        nextSeed = now;
        nextFullExchange = now + settings.syncIntervalS() * (0.5 + random.nextDouble());
        nextFaultyPing = now;
    }

    void onTick(double now) {
        boolean alone = table.rings().names().size() < 2 || local.hasRival();
        if (!seeds.isEmpty() && now >= nextSeed) {
            int probes = alone ? ALONE_PROBES * exchanges.backoffFactor() : TOGETHER_PROBES;
            nextSeed = now + settings.probeIntervalS() * probes * jitter();
            contactSeed(alone, now);
        }
        if (now >= nextFullExchange) {
            nextFullExchange = now + settings.syncIntervalS() * jitter();
            exchangeWithAnyMember(now);
        }
        if (now >= nextFaultyPing) {
            nextFaultyPing = now + settings.probeIntervalS() * FAULTY_PROBES;
            pingAnyFaulty();
        }
    }

    private double jitter() {
        return 0.75 + random.nextDouble() / 2;
    }

    private void contactSeed(boolean alone, double now) {
        List<String> candidates = new ArrayList<>(seeds);
        if (!alone) {
            table.entries().stream()
                    .filter(MembershipTable.Entry::isAlive)
                    .forEach(entry -> candidates.remove(entry.memberRecord().address()));
        }
        if (!candidates.isEmpty()) {
            contactSeed(candidates.get(random.nextInt(candidates.size())), now);
        }
    }

    /**
     * Asks a seed for members: by an exchange, or, where that brought nothing to one that is new, by a datagram, of which a
     * seed can answer many more when a whole fleet starts at once.
     */
    private void contactSeed(String seed, double now) {
        if (!local.joined() && !local.hasRival() && exchanges.lastWasFruitless()) {
            outbox.send(seed, new Join(outbox.header()), BandwidthBudget.Use.PROBE);
        } else {
            exchanges.open(seed, now);
        }
    }

    private void exchangeWithAnyMember(double now) {
        List<String> others = new ArrayList<>(table.rings().names());
        others.remove(local.name());
        if (!others.isEmpty()) {
            String name = others.get(random.nextInt(others.size()));
            exchanges.open(table.get(name).memberRecord().address(), now);
        }
    }

    private void pingAnyFaulty() {
        List<String> faulty = List.copyOf(table.faulty());
        if (!faulty.isEmpty() && !local.hasRival()) {
            String name = faulty.get(random.nextInt(faulty.size()));
            outbox.pingUntracked(table.get(name).memberRecord());
        }
    }
}
