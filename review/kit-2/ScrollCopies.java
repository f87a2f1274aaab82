import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Several clients read scrolls through one gatherer, each with a query of its own. Some answers of the ledger nodes are
 * followed by a second copy, while nothing else waits on that connection. A client that gets hits of another client's query
 * breaks the rule.
 */
final class ScrollCopies implements Case.Scenario {

    private static final int CLIENTS = 6;
    private static final double SECONDS = 30;

    @Override
    public int run(Path root, Path temp, Record record, boolean trouble) throws Exception {
        String listen = Gatherer.freeAddress();
        AtomicInteger copies = new AtomicInteger();
        AtomicInteger answers = new AtomicInteger();
        String[] hosts = new String[3];
        for (int i = 0; i < hosts.length; i++) {
            SearchPeer peer = new SearchPeer("ledger-" + i);
            peer.linkMs = 2;
            peer.workMs = 20;
            if (trouble) {
                // one answer of twenty to a search or a page is followed by a second copy, in a piece of its own.
                peer.afterAnswer = (request, answer, out, nothingWaits) -> {
                    if (!request.method().equals("DELETE") && answers.incrementAndGet() % 20 == 0) {
                        Clock.sleep(0.001);
                        if (nothingWaits.getAsBoolean()) {
                            out.write(answer);
                            out.flush();
                            copies.incrementAndGet();
                        }
                    }
                };
            }
            hosts[i] = SmallDeployment.host(peer.name, peer.address(), i, "in_service");
        }
        Path config = temp.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"reports-1\",\"limits\":{\"sockets\":1024}," + SmallDeployment.openSearch(listen, 2)
                        + ",\"known\":" + SmallDeployment.list(1, hosts) + ","
                        + SmallDeployment.settings("subscribe", "non_idempotent") + "}");
        AtomicInteger foreign = new AtomicInteger();
        AtomicInteger pages = new AtomicInteger();
        AtomicInteger complete = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicLong scrolls = new AtomicLong();
        try (Gatherer gatherer =
                new Gatherer(root, config, temp.resolve("state"), temp.resolve("gatherer.log"), Map.of())) {
            if (!gatherer.awaitReady(listen, "/", 25)) {
                record.say("the gatherer does not serve");
                return 2;
            }
            double until = Clock.now() + SECONDS;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread client = new Thread(() -> {
                    try (HttpCaller caller = new HttpCaller(listen)) {
                        while (Clock.now() < until) {
                            String account = "account-" + number + '-' + scrolls.incrementAndGet();
                            String target = "/history/_search?scroll=1m&preference=_shards:0,1,2,3,4,5";
                            String body = "{\"query\":{\"match\":{\"account\":\"" + account + "\"}},\"size\":5}";
                            int got = 0;
                            while (true) {
                                HttpCaller.Answer answer = caller.call("POST", target, "", body, 6);
                                pages.incrementAndGet();
                                if (answer.status() != 200) {
                                    record.write("%s status %d", account, answer.status());
                                    break;
                                }
                                JsonObject page = JsonParser.parseString(answer.body()).getAsJsonObject();
                                int strange = 0;
                                int hits = 0;
                                String whose = null;
                                for (JsonElement hit : page.getAsJsonObject("hits").getAsJsonArray("hits")) {
                                    hits++;
                                    String of = hit.getAsJsonObject()
                                            .getAsJsonObject("_source")
                                            .get("account")
                                            .getAsString();
                                    if (!of.equals(account)) {
                                        strange++;
                                        whose = of;
                                    }
                                }
                                got += hits;
                                int failed = page.getAsJsonObject("_shards").get("failed").getAsInt();
                                record.write(
                                        "%s page of %d hits, %d shards failed%s",
                                        account, hits, failed,
                                        strange == 0 ? "" : ", " + strange + " HITS OF " + whose);
                                foreign.addAndGet(strange);
                                if (hits == 0) {
                                    if (failed == 0) {
                                        complete.incrementAndGet();
                                        if (got != 180) {
                                            record.write("%s ended whole with %d hits of 180", account, got);
                                        }
                                    }
                                    caller.call("DELETE", "/_search/scroll", "", scrollBody(page), 6);
                                    break;
                                }
                                target = "/_search/scroll";
                                body = scrollBody(page);
                            }
                        }
                    } catch (Exception e) {
                        unanswered.incrementAndGet();
                        record.write("client %d: %s", number, e);
                    }
                });
                client.setDaemon(true);
                client.start();
                clients.add(client);
            }
            for (Thread client : clients) {
                client.join((long) (SECONDS * 1e3) + 15000);
            }
        }
        record.say(
                "%d pages, %d scrolls read whole, %d second copies sent, %d hits of other clients' queries, %d clients"
                        + " without an answer",
                pages.get(), complete.get(), copies.get(), foreign.get(), unanswered.get());
        if (pages.get() < 50 || trouble && copies.get() == 0) {
            return 2;
        }
        return foreign.get() > 0 ? 1 : 0;
    }

    private static String scrollBody(JsonObject page) {
        return "{\"scroll\":\"1m\",\"scroll_id\":\"" + page.get("_scroll_id").getAsString() + "\"}";
    }
}
