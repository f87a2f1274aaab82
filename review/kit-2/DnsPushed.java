import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gatherer that finds its ledger nodes through DNS-SD, with settings in which changes of the list need not be asked for. One
 * node withdraws its records.
 */
final class DnsPushed implements Case.Scenario {

    /** StopSendingWithinS of the settings, with the slack of the protocol page. */
    private static final double GRACE_S = 2.05;

    @Override
    public int run(Path root, Path temp, Record record, boolean trouble) throws Exception {
        String listen = Gatherer.freeAddress();
        DnsPeer dns = new DnsPeer();
        SearchPeer[] peers = new SearchPeer[4];
        String[] hosts = new String[peers.length];
        AtomicInteger late = new AtomicInteger();
        double[] toldAt = {Double.POSITIVE_INFINITY};
        String withdrawn = "holder-3";
        for (int i = 0; i < peers.length; i++) {
            SearchPeer peer = new SearchPeer("holder-" + i);
            peers[i] = peer;
            dns.announce(peer.name, peer.address(), i % 2);
            hosts[i] = SmallDeployment.host(peer.name, peer.address(), i % 2, "in_service");
            if (peer.name.equals(withdrawn)) {
                peer.onRequest = request -> {
                    record.write("%s gets %s %s", peer.name, request.method(), request.target());
                    if (request.readAtS() > toldAt[0] + GRACE_S) {
                        late.incrementAndGet();
                    }
                };
            }
        }
        Path config = temp.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"reports-1\",\"limits\":{\"sockets\":1024}," + SmallDeployment.ammanOpenSearch(listen)
                        + ",\"dnssd\":{\"server\":\"" + dns.address()
                        + "\",\"service\":\"_ledger._tcp\",\"domain\":\"anderlecht.example\",\"timeout_s\":2,\"least_s\":1}"
                        + ",\"known\":" + SmallDeployment.list(1, hosts) + ","
                        + SmallDeployment.ammanSettings() + "}");
        int answered = 0;
        try (Gatherer gatherer = new Gatherer(
                root, config, temp.resolve("state"), temp.resolve("gatherer.log"), Map.of())) {
            if (!gatherer.awaitReady(listen, "/", 25)) {
                record.say("the gatherer does not serve");
                return 2;
            }
            answered += DnsUpgrade.searches(listen, "merchants", 5, record);
            if (trouble) {
                dns.withdraw(withdrawn);
                record.write("%s has withdrawn its records", withdrawn);
                toldAt[0] = Clock.now() + 6;
            }
            answered += DnsUpgrade.searches(listen, "merchants", 20, record);
        }
        record.say(
                "%d searches answered; the DNS server was asked %d times; %d requests to %s later than 8.05 s after its"
                        + " records were gone",
                answered, dns.queries(), late.get(), withdrawn);
        if (answered < 50) {
            return 2;
        }
        return late.get() > 0 ? 1 : 0;
    }
}
