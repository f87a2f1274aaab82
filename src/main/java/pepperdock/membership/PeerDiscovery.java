package pepperdock.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import pepperdock.membership.Message.Join;

/**
 * Looks for other members: asks the seeds while this member is alone, and occasionally after that; opens a full
 * exchange with a random member at intervals; and pings members that were declared faulty and may be back. Owned by the
 * thread that calls {@link Membership}.
 */
final class PeerDiscovery {

    /** Probe intervals between two requests to a seed while this member is alone, times the backoff. */
    private static final int SEED_PROBE_INTERVALS_WHILE_ALONE = 2;
    /** Probe intervals between two requests to a seed once there are other members. */
    private static final int SEED_PROBE_INTERVALS = 20;
    /** Probe intervals between two pings to members declared faulty. */
    private static final int FAULTY_PING_PROBE_INTERVALS = 4;

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
        boolean alone = table.rings().names().size() < 2 || local.hasNameConflict();
        if (!seeds.isEmpty() && now >= nextSeed) {
            int probeIntervals =
                    alone ? SEED_PROBE_INTERVALS_WHILE_ALONE * exchanges.backoffFactor() : SEED_PROBE_INTERVALS;
            nextSeed = now + settings.probeIntervalS() * probeIntervals * jitter();
            contactSeed(alone, now);
        }
        if (now >= nextFullExchange) {
            nextFullExchange = now + settings.syncIntervalS() * jitter();
            exchangeWithRandomMember(now);
        }
        if (now >= nextFaultyPing) {
            nextFaultyPing = now + settings.probeIntervalS() * FAULTY_PING_PROBE_INTERVALS;
            pingRandomFaultyMember();
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
     * Asks a seed for members by an exchange. If exchanges brought a new member nothing, it asks by a datagram, as a
     * seed can answer many more of these when a whole fleet starts at once.
     */
    private void contactSeed(String seed, double now) {
        if (!local.joined() && !local.hasNameConflict() && exchanges.lastWasUnproductive()) {
            outbox.send(seed, new Join(outbox.header()), BandwidthBudget.Use.PROBE);
        } else {
            exchanges.open(seed, now);
        }
    }

    private void exchangeWithRandomMember(double now) {
        List<String> others = new ArrayList<>(table.rings().names());
        others.remove(local.name());
        if (!others.isEmpty()) {
            String name = others.get(random.nextInt(others.size()));
            exchanges.open(table.get(name).memberRecord().address(), now);
        }
    }

    private void pingRandomFaultyMember() {
        List<String> faulty = List.copyOf(table.faulty());
        if (!faulty.isEmpty() && !local.hasNameConflict()) {
            String name = faulty.get(random.nextInt(faulty.size()));
            outbox.pingUntracked(table.get(name).memberRecord());
        }
    }
}
