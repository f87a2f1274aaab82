import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A ledger node withdraws its records while the DNS server is slow with others. From 500 ms after the answer that tells
 * the withdrawal the node must get nothing new.
 */
final class SlowDns {

    /** StopSendingWithinS, and the 50 ms by which each time limit is longer on sockets. */
    private static final double GRACE_S = 0.5 + 0.05;

    private static final int LATE_MS = 1500;
    private static final int TTL_S = 2;
    private static final double WITHDRAW_AT_S = 6;
    private static final double PLAY_S = 16;
    private static final int PERIOD_MS = 50;
    private static final int WORK_MS = 60;
    private static final String SERVICE = "_ledger._tcp.anderlecht.example";
    private static final String WITHDRAWN = "ledger-2";

    private SlowDns() {}

    public static void main(String[] arguments) {
        Bench.run(arguments[0], SlowDns::play);
    }

    private static boolean play(Bench bench) throws Exception {
        double[] toldAt = {Double.NaN};
        AtomicInteger late = new AtomicInteger();
        AtomicInteger before = new AtomicInteger();
        AtomicBoolean withdrawn = new AtomicBoolean();
        List<DnsPeer.Node> nodes = new ArrayList<>();
        for (int cell = 0; cell < SmallDeployment.CELLS; cell++) {
            String name = "ledger-" + cell;
            FramePeer peer = new FramePeer(name, WORK_MS, part -> {
                if (name.equals(WITHDRAWN)) {
                    double told;
                    synchronized (toldAt) {
                        told = toldAt[0];
                    }
                    if (bench.now() > told + GRACE_S) {
                        late.incrementAndGet();
                        bench.note(
                                "%s gets part %s, %.3f s after its withdrawal was told",
                                name, part.id(), bench.now() - told);
                    } else {
                        before.incrementAndGet();
                    }
                }
                return "good";
            });
            nodes.add(new DnsPeer.Node(name, cell, peer.port()));
        }
        DnsPeer dns = new DnsPeer(
                SERVICE,
                TTL_S,
                nodes,
                (name, type) -> bench.trouble && withdrawn.get() && type != DnsPeer.PTR ? LATE_MS : 5,
                (name, type, listed) -> {
                    bench.note("DNS answers %s type %d %s", name, type, type == DnsPeer.PTR ? listed : "");
                    boolean withoutIt = type == DnsPeer.PTR && !listed.contains(WITHDRAWN);
                    boolean noSuchNode = type == DnsPeer.SRV && withdrawn.get() && name.startsWith(WITHDRAWN);
                    if (withoutIt || noSuchNode) {
                        synchronized (toldAt) {
                            toldAt[0] = Double.isNaN(toldAt[0]) ? bench.now() : toldAt[0];
                        }
                    }
                });
        int port = Bench.freePort();
        bench.startGatherer(
                "g1",
                bench.file(
                        "config.json",
                        "{\"name\":\"g1\",\"listen\":\"" + Bench.HOST + ":" + port + "\",\"seed\":\"8c1f30d27a5be964\","
                                + "\"limits\":{\"sockets\":1024},\"dnssd\":{\"server\":\"" + dns.address()
                                + "\",\"service\":\"_ledger._tcp\",\"domain\":\"anderlecht.example\",\"timeout_s\":2,"
                                + "\"least_s\":1},\"settings\":" + SmallDeployment.settings() + "}"),
                Map.of());
        bench.awaitReady(port, "/-/ready");
        Thread.sleep(500);
        double startedAt = bench.now();
        int sent = 0;
        List<Thread> threads = new ArrayList<>();
        int[] ok = {0};
        while (bench.now() < startedAt + PLAY_S) {
            if (!withdrawn.get() && bench.now() > startedAt + WITHDRAW_AT_S) {
                bench.note("%s withdraws its records", WITHDRAWN);
                dns.withdraw(WITHDRAWN);
                withdrawn.set(true);
            }
            String id = "q" + sent;
            int range = sent % SmallDeployment.RANGES;
            sent++;
            Thread client = new Thread(() -> {
                try (HttpCaller caller = new HttpCaller(port)) {
                    HttpCaller.Answer answer = caller.call(
                            "POST",
                            "/api",
                            "Request-Id: " + id + "\r\nRequest-Class: balance-adjust\r\nRequest-Timeout-Ms: 3000\r\n"
                                    + "Idempotency-Key: k" + id + "\r\n",
                            "{\"ranges\":[{\"range\":" + range + ",\"portion\":1.0}],\"predicate\":\"p\"}",
                            4);
                    synchronized (ok) {
                        ok[0] += answer != null && answer.status() == 200 ? 1 : 0;
                    }
                } catch (java.io.IOException e) {
                    bench.note("query %s: %s", id, e.getMessage());
                }
            });
            client.setDaemon(true);
            client.start();
            threads.add(client);
            Thread.sleep(PERIOD_MS);
        }
        for (Thread client : threads) {
            client.join();
        }
        bench.note(
                "%d queries, %d served; %s got %d parts up to the limit and %d after it",
                sent, ok[0], WITHDRAWN, before.get(), late.get());
        bench.noteLog("g1");
        if (before.get() == 0 || Double.isNaN(toldAt[0])) {
            throw new IllegalStateException("the node was never used, or the withdrawal never told");
        }
        return late.get() == 0;
    }
}
