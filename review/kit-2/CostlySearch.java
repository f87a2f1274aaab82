import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Reporting tools search all sections through one gatherer, usually for 500 hits. For some seconds a few searches cost 9.8 times
 * the usual work in all their parts: they ask for 4,900 hits.
 */
final class CostlySearch implements Case.Scenario {

    private static final int USUAL_HITS = 500;
    private static final int COSTLY_HITS = 4900;
    private static final int CLIENTS = 2;
    private static final int SEARCHES = 50;
    private static final double PAUSE_S = 0.3;
    private static final double DEADLINE_S = 5;
    private static final double SLACK_S = 0.55;

    @Override
    public int run(Path root, Path temp, Record record, boolean trouble) throws Exception {
        String listen = Gatherer.freeAddress();
        String[] hosts = new String[6];
        for (int i = 0; i < hosts.length; i++) {
            SearchPeer peer = new SearchPeer("holder-" + i);
            peer.workMs = 10;
            peer.hitUs = 50;
            peer.hitsPerShard = 20000;
            peer.padding = ",\"when\":\"2026-12-05T10:11:12Z\",\"amount\":12.5,\"kind\":\"credit\"";
            hosts[i] = SmallDeployment.host(peer.name, peer.address(), i % 2, "in_service");
        }
        Path config = temp.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"reports-1\",\"limits\":{\"sockets\":1024}," + SmallDeployment.ammanOpenSearch(listen)
                        + ",\"known\":" + SmallDeployment.list(1, hosts) + "," + SmallDeployment.ammanSettings() + "}");
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger lostUsual = new AtomicInteger();
        AtomicInteger costly = new AtomicInteger();
        try (Gatherer gatherer =
                new Gatherer(root, config, temp.resolve("state"), temp.resolve("gatherer.log"), Map.of())) {
            if (!gatherer.awaitReady(listen, "/", 25)) {
                record.say("the gatherer does not serve");
                return 2;
            }
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread client = new Thread(() -> {
                    try (HttpCaller caller = new HttpCaller(listen)) {
                        for (int k = 0; k < SEARCHES; k++) {
                            // Two of a hundred.
                            boolean isCostly = trouble && k == 15 + 15 * number;
                            costly.addAndGet(isCostly ? 1 : 0);
                            String account = "client-" + number + "-search-" + k;
                            double startedAt = Clock.now();
                            try {
                                HttpCaller.Answer answer = search(caller, account, isCostly ? COSTLY_HITS : USUAL_HITS);
                                answered.incrementAndGet();
                                served.addAndGet(answer.status() == 200 ? 1 : 0);
                                record.write(
                                        "%s%s: %d after %.3f s%s",
                                        account, isCostly ? " (costly)" : "", answer.status(), Clock.now() - startedAt,
                                        answer.status() == 200 ? ", " + shards(answer) : "");
                            } catch (java.io.IOException e) {
                                lost.incrementAndGet();
                                lostUsual.addAndGet(isCostly ? 0 : 1);
                                record.write(
                                        "%s%s: NO ANSWER after %.3f s, %s",
                                        account, isCostly ? " (costly)" : "", Clock.now() - startedAt, e);
                            }
                            Clock.sleep(PAUSE_S);
                        }
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                client.setDaemon(true);
                clients.add(client);
            }
            clients.forEach(Thread::start);
            for (Thread client : clients) {
                client.join(60000);
            }
        }
        record.say(
                "%d searches answered, %d of them served, %d costly ones; without an answer %.2f s after their time: %d,"
                        + " %d of them usual ones",
                answered.get(), served.get(), costly.get(), SLACK_S, lost.get(), lostUsual.get());
        if (answered.get() < CLIENTS * SEARCHES / 2) {
            return 2;
        }
        return lost.get() > 0 ? 1 : 0;
    }

    private static HttpCaller.Answer search(HttpCaller caller, String account, int hits) throws java.io.IOException {
        String body = "{\"query\":{\"match\":{\"account\":\"" + account + "\"}},\"size\":" + hits + "}";
        return caller.call("POST", "/merchants/_search", "", body, DEADLINE_S + SLACK_S);
    }

    private static String shards(HttpCaller.Answer answer) {
        JsonObject shards = JsonParser.parseString(answer.body()).getAsJsonObject().getAsJsonObject("_shards");
        return shards.get("successful") + " of " + shards.get("total") + " shards";
    }
}
