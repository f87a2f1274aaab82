import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client sends updates of wallets, each once, through the front for OpenSearch-style queries to servers of that API. A new
 * configuration comes by SIGHUP: it adds a class and names another backend, which waits for a restart. After that some
 * connections are reset under updates that have begun.
 */
final class ReloadedUpdates implements Case.Scenario {

    private static final int UPDATES = 60;

    @Override
    public int run(Path root, Path temp, Record record, boolean trouble) throws Exception {
        String listen = Gatherer.freeAddress();
        SearchPeer[] peers = new SearchPeer[3];
        String[] hosts = new String[peers.length];
        AtomicInteger applied = new AtomicInteger();
        AtomicInteger resets = new AtomicInteger();
        boolean[] resetting = {false};
        for (int i = 0; i < peers.length; i++) {
            SearchPeer peer = new SearchPeer("ledger-" + i);
            peers[i] = peer;
            hosts[i] = SmallDeployment.host(peer.name, peer.address(), i, "in_service");
            peer.onRequest = request -> {
                if (request.target().contains("/_update/")) {
                    record.write("%s gets %s", peer.name, request.target());
                }
            };
            peer.resetsAfterUpdate = () -> {
                boolean reset = resetting[0] && applied.incrementAndGet() % 10 == 0;
                if (reset) {
                    resets.incrementAndGet();
                    record.write("%s has applied it and resets the connection", peer.name);
                }
                return reset;
            };
        }
        Path config = temp.resolve("config.json");
        String known = ",\"known\":" + SmallDeployment.list(1, hosts) + ",";
        String settings = SmallDeployment.settings("subscribe", "idempotency_key");
        Files.writeString(
                config,
                "{\"name\":\"reports-1\",\"limits\":{\"sockets\":1024}," + SmallDeployment.openSearch(listen, 8) + known
                        + settings + "}");
        Map<String, Integer> answers = new HashMap<>();
        try (Gatherer gatherer = new Gatherer(
                root, config, temp.resolve("state"), temp.resolve("gatherer.log"), Map.of())) {
            if (!gatherer.awaitReady(listen, "/", 25)) {
                record.say("the gatherer does not serve");
                return 2;
            }
            Clock.sleep(1);
            if (trouble) {
                Path next = temp.resolve("next.json");
                Files.writeString(
                        next,
                        "{\"name\":\"reports-1\",\"limits\":{\"sockets\":1024},"
                                + SmallDeployment.openSearch(listen, 8, "frames") + known
                                + settings.replace(
                                        "\"Worth\": 1.0}]",
                                        "\"Worth\": 1.0},\n{\"Name\": \"statement\", \"GoalTimeS\": 1.5, \"DeadlineS\": 3.0,"
                                                + " \"Effect\": \"read_like\", \"LateWorth\": 0.0, \"Worth\": 1.0}]")
                                + "}");
                Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                gatherer.reload();
                record.write("SIGHUP");
                Clock.sleep(2);
                resetting[0] = true;
            }
            try (HttpCaller caller = new HttpCaller(listen)) {
                for (int i = 0; i < UPDATES; i++) {
                    String id = "wallet-" + i;
                    HttpCaller.Answer answer = caller.call(
                            "POST", "/wallets/_update/" + id + "?routing=" + i % 9, "", "{\"script\":{\"source\":\"credit 5\"}}", 4);
                    answers.put(id, answer.status());
                    record.write("update of %s answered %d", id, answer.status());
                    Clock.sleep(0.1);
                }
            }
            for (String line : Files.readAllLines(gatherer.log)) {
                if (line.contains("configuration")) {
                    record.write("log: %s", line);
                }
            }
        }
        int twice = 0;
        for (String id : answers.keySet()) {
            int runs = 0;
            for (SearchPeer peer : peers) {
                runs += peer.updates.getOrDefault(id, new AtomicInteger()).get();
            }
            if (runs > 1) {
                twice++;
                record.write("the update of %s, sent once by its client, was applied %d times", id, runs);
            }
        }
        record.say(
                "%d updates sent and answered, %d connections reset under an update; %d updates applied more than once",
                answers.size(), resets.get(), twice);
        if (answers.size() < UPDATES || trouble && resets.get() == 0) {
            return 2;
        }
        return twice > 0 ? 1 : 0;
    }
}
