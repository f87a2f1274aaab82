import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gatherer is upgraded. While requests of usual clients are open at the first process, a bad client sends the ids of these
 * requests with a query of its own.
 */
final class OpenIdInUpgrade implements Case.Scenario {

    private static final int CLIENTS = 10;
    /** A part at a slow node while all are 1.8 times slower, with its call. */
    private static final int WORK_MS = 300;

    @Override
    public int run(Path root, Path temp, Record record, boolean trouble) throws Exception {
        String listen = Gatherer.freeAddress();
        String operatorA = Gatherer.freeAddress();
        String operatorB = Gatherer.freeAddress();
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        String[] hosts = new String[3];
        for (int i = 0; i < hosts.length; i++) {
            String name = "ledger-" + i;
            FramePeer peer = new FramePeer(name, WORK_MS, part -> {
                runs.computeIfAbsent(part.id(), first -> new AtomicInteger()).incrementAndGet();
                record.write("%s gets part %s: %s", name, part.id(), part.text());
            });
            hosts[i] = SmallDeployment.host(name, peer.address(), i, "in_service");
        }
        ListPeer discovery = new ListPeer(41, hosts);
        Path config = temp.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"n1\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery.address()
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                        + "\"known\":" + discovery.list() + "," + SmallDeployment.settings("subscribe", "idempotency_key")
                        + "}");
        Path state = temp.resolve("state");
        AtomicInteger answered = new AtomicInteger();
        int served = 0;
        int errors = 0;
        try (Gatherer first = new Gatherer(
                root, config, state, temp.resolve("first.log"), Map.of("EDGE_OPERATOR", operatorA))) {
            if (!first.awaitReady(operatorA, "/-/ready", 25)) {
                record.say("the gatherer does not serve");
                return 2;
            }
            if (trouble) {
                HttpCaller usual = new HttpCaller(listen);
                SearchPeer.Thread.ofDaemon("usual", () -> send(usual, "before", "usual", record, answered));
                Clock.sleep(0.1);
                record.write("one process: the bad client is answered %d", send(new HttpCaller(listen), "before", "bad", record, null));
                Clock.sleep(1);
            }
            List<HttpCaller> usual = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                usual.add(new HttpCaller(listen));
                usual.get(i).call("GET", "/-/ready", "", "", 2);
            }
            try (Gatherer second = new Gatherer(
                    root, config, state, temp.resolve("second.log"), Map.of("EDGE_OPERATOR", operatorB))) {
                if (!second.awaitReady(operatorB, "/-/ready", 25)) {
                    record.say("the second process does not serve");
                    return 2;
                }
                record.write("the second process says yes, SIGTERM to the first");
                first.terminate();
                Clock.sleep(0.2);
                List<java.lang.Thread> open = new ArrayList<>();
                for (int i = 0; i < CLIENTS; i++) {
                    HttpCaller caller = usual.get(i);
                    String id = "open-" + i;
                    open.add(SearchPeer.Thread.ofDaemon(
                            "usual", () -> send(caller, id, "usual", record, answered)));
                }
                Clock.sleep(0.1);
                for (int i = 0; i < CLIENTS && trouble; i++) {
                    String id = "open-" + i;
                    int[] status = {0};
                    open.add(SearchPeer.Thread.ofDaemon("bad", () -> {
                        status[0] = send(new HttpCaller(listen), id, "bad", record, null);
                        synchronized (status) {
                            record.write("the bad client is answered %d for %s", status[0], id);
                        }
                    }));
                    statuses.add(status);
                }
                for (java.lang.Thread thread : open) {
                    thread.join(10_000);
                }
                for (int[] status : statuses) {
                    served += status[0] == 200 ? 1 : 0;
                    errors += status[0] >= 400 ? 1 : 0;
                }
                Clock.sleep(1);
            }
        }
        long twice = runs.values().stream().filter(count -> count.get() > 1).count();
        record.say(
                "%d usual requests answered with 200; ids of open requests sent by the bad client: %d served, %d answered with an"
                        + " error; %d parts ran twice",
                answered.get(), served, errors, twice);
        if (answered.get() < CLIENTS || trouble && served + errors == 0) {
            return 2;
        }
        return served > 0 ? 1 : 0;
    }

    private final List<int[]> statuses = new ArrayList<>();

    private static int send(HttpCaller caller, String id, String text, Record record, AtomicInteger answered) {
        try {
            HttpCaller.Answer answer = caller.call(
                    "POST",
                    "/api",
                    "Request-Id: " + id + "\r\nRequest-Class: balance-adjust\r\nRequest-Timeout-Ms: 2500\r\nIdempotency-Key: "
                            + text + "-" + id + "\r\n",
                    "{\"ranges\":[{\"range\":1,\"portion\":1}],\"predicate\":\"" + text + "\"}",
                    4);
            record.write("%s client, id %s: %d %s", text, id, answer.status(), answer.body());
            if (answered != null && answer.status() == 200) {
                answered.incrementAndGet();
            }
            return answer.status();
        } catch (IOException e) {
            record.write("%s client, id %s: %s", text, id, e);
            return 0;
        }
    }
}
