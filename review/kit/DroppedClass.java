import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A new configuration drops a class that nobody asks for. Requests of another class, which are open then, stay under the
 * old rules: a part that a node has answered is over, and must not be sent again.
 */
final class DroppedClass {

    private static final int WORK_MS = 120;
    private static final int PERIOD_MS = 25;
    private static final double CHANGE_AT_S = 2;
    private static final double PLAY_S = 4;
    /** The 50 ms by which each time limit is longer on sockets: a send this soon may have crossed the answer. */
    private static final double CROSSING_S = 0.05;

    private DroppedClass() {}

    public static void main(String[] arguments) {
        Bench.run(arguments[0], DroppedClass::play);
    }

    private static boolean play(Bench bench) throws Exception {
        Map<String, Double> answeredAt = new ConcurrentHashMap<>();
        Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        AtomicInteger afterAnswer = new AtomicInteger();
        List<String> nodes = new ArrayList<>();
        for (int cell = 0; cell < SmallDeployment.CELLS; cell++) {
            String name = "ledger-" + cell;
            FramePeer node = new FramePeer(name, WORK_MS, part -> {
                int run = runs.computeIfAbsent(part.id(), id -> new AtomicInteger()).incrementAndGet();
                Double answered = answeredAt.get(part.id());
                boolean over = answered != null && bench.now() > answered + CROSSING_S;
                afterAnswer.addAndGet(over ? 1 : 0);
                bench.note(
                        "%s gets part %s, send %d%s",
                        name,
                        part.id(),
                        run,
                        over ? String.format(", %.3f s AFTER it was answered good", bench.now() - answered) : "");
                return "good";
            });
            node.onAnswered(id -> {
                if (answeredAt.putIfAbsent(id, bench.now()) == null) {
                    bench.note("%s answers part %s good", name, id);
                }
            });
            nodes.add(node.address());
        }
        int port = Bench.freePort();
        String before = SmallDeployment.settings();
        String after = SmallDeployment.settings(List.of(SmallDeployment.HISTORY, SmallDeployment.ADJUST), "[0.6,1.0]");
        Path config = bench.file("config.json", file(port, nodes, before));
        Process gatherer = bench.startGatherer("g1", config, Map.of());
        bench.awaitReady(port, "/-/ready");
        Thread.sleep(500);
        double startedAt = bench.now();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        boolean changed = !bench.trouble;
        for (int i = 0; bench.now() < startedAt + PLAY_S; i++) {
            if (!changed && bench.now() > startedAt + CHANGE_AT_S) {
                changed = true;
                bench.file("config.json", file(port, nodes, after));
                bench.signal("HUP", gatherer);
            }
            String id = "q" + i;
            int range = i % SmallDeployment.RANGES;
            Thread client = new Thread(() -> {
                try (HttpCaller caller = new HttpCaller(port)) {
                    double sentAt = bench.now();
                    HttpCaller.Answer answer = caller.call(
                            "POST",
                            "/api",
                            "Request-Id: " + id + "\r\nRequest-Class: balance-adjust\r\nRequest-Timeout-Ms: 3000\r\n"
                                    + "Idempotency-Key: k" + id + "\r\n",
                            "{\"ranges\":[{\"range\":" + range + ",\"portion\":1.0}],\"predicate\":\"p\"}",
                            5);
                    if (answer != null && answer.status() == 200) {
                        served.incrementAndGet();
                    } else {
                        failed.incrementAndGet();
                        bench.note("query %s: %s after %.3f s, sent at %.3f", id, answer, bench.now() - sentAt, sentAt);
                    }
                } catch (java.io.IOException e) {
                    failed.incrementAndGet();
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
        long again = runs.values().stream().filter(count -> count.get() > 1).count();
        bench.note("%d requests served, %d not served", served.get(), failed.get());
        bench.note("%d parts sent more than once, %d sends of parts that were over", again, afterAnswer.get());
        bench.noteLog("g1");
        if (served.get() == 0) {
            throw new IllegalStateException("nothing was served");
        }
        return afterAnswer.get() == 0;
    }

    private static String file(int port, List<String> nodes, String settings) {
        return "{\"name\":\"g1\",\"listen\":\"" + Bench.HOST + ":" + port + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"sockets\":1024},\"known\":{\"seq\":1,\"whole\":true,\"hosts\":["
                + SmallDeployment.hosts(nodes) + "]},\"settings\":" + settings + "}";
    }
}
