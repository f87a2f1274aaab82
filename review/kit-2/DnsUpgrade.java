import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gatherer that finds its ledger nodes through DNS-SD is upgraded. Before that, one node withdraws its records and the
 * gatherer stops to use it; then the DNS server does not answer for a while, and the second process is started.
 */
final class DnsUpgrade implements Case.Scenario {

    /** What discovery tells counts as told so long after the yes of the second process, whoever of the two was told. */
    private static final double NEWS_S = 2;
    /** StopSendingWithinS of the settings, with the slack of the protocol page. */
    private static final double GRACE_S = 0.55;

    @Override
    public int run(Path root, Path temp, Record record, boolean trouble) throws Exception {
        String listen = Gatherer.freeAddress();
        String operatorA = Gatherer.freeAddress();
        String operatorB = Gatherer.freeAddress();
        DnsPeer dns = new DnsPeer();
        SearchPeer[] peers = new SearchPeer[4];
        String[] hosts = new String[peers.length];
        AtomicInteger late = new AtomicInteger();
        double[] toldAt = {Double.POSITIVE_INFINITY};
        String withdrawn = "ledger-3";
        for (int i = 0; i < peers.length; i++) {
            SearchPeer peer = new SearchPeer("ledger-" + i);
            peers[i] = peer;
            dns.announce(peer.name, peer.address(), i % 3);
            hosts[i] = SmallDeployment.host(peer.name, peer.address(), i % 3, "in_service");
            if (peer.name.equals(withdrawn)) {
                peer.onRequest = request -> {
                    record.write("%s gets %s %s", peer.name, request.method(), request.target());
                    if (request.readAtS() > toldAt[0] + NEWS_S + GRACE_S) {
                        late.incrementAndGet();
                    }
                };
            }
        }
        Path config = temp.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"reports-1\",\"limits\":{\"sockets\":1024}," + SmallDeployment.openSearch(listen, 8)
                        + ",\"dnssd\":{\"server\":\"" + dns.address()
                        + "\",\"service\":\"_ledger._tcp\",\"domain\":\"anderlecht.example\",\"timeout_s\":2,\"least_s\":1}"
                        + ",\"known\":" + SmallDeployment.list(1, hosts) + ","
                        + SmallDeployment.settings("subscribe", "non_idempotent") + "}");
        Path state = temp.resolve("state");
        int answered;
        try (Gatherer first = new Gatherer(
                root, config, state, temp.resolve("first.log"), Map.of("EDGE_OPERATOR", operatorA))) {
            if (!first.awaitReady(operatorA, "/-/ready", 25)) {
                record.say("the gatherer does not serve");
                return 2;
            }
            answered = searches(listen, "history", 4, record);
            int before = peers[3].served.get();
            record.write("%s has answered %d requests", withdrawn, before);
            if (trouble) {
                dns.withdraw(withdrawn);
                record.write("%s has withdrawn its records", withdrawn);
            }
            Clock.sleep(4);
            int atWithdrawal = peers[3].served.get();
            answered += searches(listen, "history", 4, record);
            record.write("%s has answered %d requests since", withdrawn, peers[3].served.get() - atWithdrawal);
            if (before == 0 || trouble && peers[3].served.get() > atWithdrawal) {
                record.say("the first process did not take up the withdrawal, the case can't run");
                return 2;
            }
            if (trouble) {
                dns.up = false;
                record.write("the DNS server does not answer any more");
            }
            try (Gatherer second = new Gatherer(
                    root, config, state, temp.resolve("second.log"), Map.of("EDGE_OPERATOR", operatorB))) {
                double startedAt = Clock.now();
                if (!second.awaitReady(operatorB, "/-/ready", 25)) {
                    record.say("the second process does not serve");
                    return 2;
                }
                record.write("the second process is ready after %.3f s", Clock.now() - startedAt);
                if (trouble) {
                    toldAt[0] = Clock.now();
                }
                first.terminate();
                record.write("SIGTERM to the first process");
                answered += searches(listen, "history", 8, record);
                record.write("the first process is %s", first.process.isAlive() ? "alive" : "gone");
            }
        }
        record.say(
                "%d searches answered; %d requests to %s, of which the first process knew, later than %.2f s after the"
                        + " second one's yes",
                answered, late.get(), withdrawn, NEWS_S + GRACE_S);
        if (answered < 50) {
            return 2;
        }
        return late.get() > 0 ? 1 : 0;
    }

    /** Sends searches for some seconds, each on a connection of its own; returns how many were answered. */
    static int searches(String listen, String index, double seconds, Record record) throws Exception {
        int answered = 0;
        double until = Clock.now() + seconds;
        while (Clock.now() < until) {
            try (HttpCaller caller = new HttpCaller(listen)) {
                HttpCaller.Answer answer = caller.call(
                        "POST", "/" + index + "/_search", "", "{\"query\":{\"match\":{\"account\":\"a\"}},\"size\":3}", 6);
                answered += answer.status() == 200 ? 1 : 0;
                if (answer.status() != 200) {
                    record.write("search answered %d", answer.status());
                }
            } catch (java.io.IOException e) {
                record.write("search: %s", e);
            }
            Clock.sleep(0.05);
        }
        return answered;
    }
}
