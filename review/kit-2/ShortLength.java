import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients ask on the platform's front. Some answers of the ledger nodes are spoilt: the length before the frame does not
 * fit, it is five bytes too small. Nothing more comes on that connection then.
 */
final class ShortLength implements Case.Scenario {

    private static final int CLIENTS = 6;
    private static final double SECONDS = 20;
    /** One answer of so many is spoilt. */
    private static final int SPOILT_EVERY = 50;

    @Override
    public int run(Path root, Path temp, Record record, boolean trouble) throws Exception {
        String listen = Gatherer.freeAddress();
        AtomicInteger answers = new AtomicInteger();
        AtomicInteger spoilt = new AtomicInteger();
        String[] hosts = new String[3];
        for (int i = 0; i < hosts.length; i++) {
            FramePeer peer = new FramePeer("ledger-" + i, 40, part -> {});
            if (trouble) {
                peer.spoils = () -> {
                    boolean spoils = answers.incrementAndGet() % SPOILT_EVERY == 0;
                    spoilt.addAndGet(spoils ? 1 : 0);
                    return spoils;
                };
            }
            hosts[i] = SmallDeployment.host(peer.name, peer.address(), i, "in_service");
        }
        ListPeer discovery = new ListPeer(41, hosts);
        Path config = temp.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"n1\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery.address()
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                        + "\"known\":" + discovery.list() + "," + SmallDeployment.settings("subscribe", "idempotency_key")
                        + "}");
        AtomicInteger served = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        try (Gatherer gatherer =
                new Gatherer(root, config, temp.resolve("state"), temp.resolve("gatherer.log"), Map.of())) {
            if (!gatherer.awaitReady(listen, "/-/ready", 25)) {
                record.say("the gatherer does not serve");
                return 2;
            }
            double until = Clock.now() + SECONDS;
            List<java.lang.Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                clients.add(SearchPeer.Thread.ofDaemon("client", () -> {
                    try (HttpCaller caller = new HttpCaller(listen)) {
                        for (int k = 0; Clock.now() < until; k++) {
                            String id = "c" + number + "q" + k;
                            HttpCaller.Answer answer = ask(caller, id, k);
                            if (answer.status() == 200) {
                                served.incrementAndGet();
                                wrong.addAndGet(wrongValues(answer, id, record));
                            } else {
                                other.incrementAndGet();
                                record.write("%s answered %d", id, answer.status());
                            }
                            Clock.sleep(0.05);
                        }
                    } catch (IOException | InterruptedException e) {
                        record.write("client %d: %s", number, e);
                    }
                }));
            }
            for (java.lang.Thread client : clients) {
                client.join((long) (SECONDS * 1e3) + 10_000);
            }
        }
        record.say(
                "%d requests served, %d refused or failed; %d of %d answers of nodes spoilt; %d values served that no node made",
                served.get(), other.get(), spoilt.get(), answers.get(), wrong.get());
        if (served.get() < 100 || trouble && spoilt.get() == 0) {
            return 2;
        }
        return wrong.get() > 0 ? 1 : 0;
    }

    /** Sends a history-search of six parts, a payout-report of four or a balance-adjust of one. */
    private static HttpCaller.Answer ask(HttpCaller caller, String id, int k) throws IOException {
        int parts = new int[] {6, 4, 1}[k % 3];
        String queryClass = new String[] {"history-search", "payout-report", "balance-adjust"}[k % 3];
        StringBuilder ranges = new StringBuilder();
        for (int i = 0; i < parts; i++) {
            ranges.append(i > 0 ? "," : "")
                    .append("{\"range\":")
                    .append((k + i) % 9)
                    .append(",\"portion\":")
                    .append(1.0 / parts)
                    .append('}');
        }
        return caller.call(
                "POST",
                "/api",
                "Request-Id: " + id + "\r\nRequest-Class: " + queryClass
                        + "\r\nRequest-Timeout-Ms: 2500\r\nIdempotency-Key: k" + id + "\r\n",
                "{\"ranges\":[" + ranges + "],\"predicate\":\"query " + id + "\"}",
                4);
    }

    /** Returns how many values of an answer are not those that the nodes made for its parts. */
    private static int wrongValues(HttpCaller.Answer answer, String id, Record record) {
        int wrong = 0;
        JsonObject body = JsonParser.parseString(answer.body()).getAsJsonObject();
        for (JsonElement element : body.getAsJsonArray("answers")) {
            JsonObject part = element.getAsJsonObject();
            String partId = id + "." + part.get("range").getAsInt();
            String made = FramePeer.value(new FramePeer.Part(partId, "query " + id));
            String value = part.get("blob").getAsString();
            if (!value.equals(made)) {
                wrong++;
                record.write("%s: served \"%s\", made \"%s\", total %s", partId, value, made, body.get("total"));
            }
        }
        return wrong;
    }
}
