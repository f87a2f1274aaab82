import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One node hangs. Eight clients open scrolls, and then another client reads the next page of a scroll that it had opened
 * before. It must get a final answer within its class's deadline and half a second.
 */
final class QueuedPage {

    private static final double LOST_AFTER_S = 3.0 + 0.5 + 0.05;
    private static final int OPENING = 8;
    private static final int WORK_MS = 60;

    private QueuedPage() {}

    public static void main(String[] arguments) {
        Bench.run(arguments[0], QueuedPage::play);
    }

    private static boolean play(Bench bench) throws Exception {
        AtomicBoolean hanging = new AtomicBoolean();
        AtomicInteger contexts = new AtomicInteger();
        List<String> addresses = new ArrayList<>();
        for (int cell = 0; cell < SmallDeployment.CELLS; cell++) {
            String node = "ledger-" + cell;
            boolean bad = cell == 0;
            addresses.add(new HttpPeer(request -> {
                        if (bad && hanging.get()) {
                            bench.note("%s hangs on %s %s", node, request.method(), request.target());
                            return null;
                        }
                        Thread.sleep(WORK_MS);
                        int context = contexts.incrementAndGet();
                        return HttpPeer.json(
                                200,
                                "{\"_scroll_id\":\"context-" + context + "\",\"took\":1,\"timed_out\":false,\"_shards\":"
                                        + "{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":0},\"hits\":{\"total\":"
                                        + "{\"value\":9,\"relation\":\"eq\"},\"max_score\":1.0,\"hits\":[{\"_index\":"
                                        + "\"history\",\"_id\":\"" + context + "\",\"_score\":1.0,\"_source\":{}}]}}");
                    })
                    .address());
        }
        int port = Bench.freePort();
        bench.startGatherer(
                "reports-1",
                bench.file("config.json", SmallDeployment.openSearchFile(port, addresses)),
                Map.of());
        bench.awaitReady(port, "/");
        String json = "Content-Type: application/json\r\n";
        try (HttpCaller caller = new HttpCaller(port)) {
            HttpCaller.Answer first = caller.call("POST", "/history/_search?scroll=1m", json, "{\"size\":1}", 4);
            if (first == null || first.status() != 200) {
                throw new IOException("the scroll was not opened: " + first);
            }
            String scroll = first.body().replaceAll(".*\"_scroll_id\":\"([^\"]*)\".*", "$1");
            hanging.set(bench.trouble);
            for (int i = 0; i < OPENING; i++) {
                Thread client = new Thread(() -> {
                    try (HttpCaller other = new HttpCaller(port)) {
                        HttpCaller.Answer answer =
                                other.call("POST", "/history/_search?scroll=1m", json, "{\"size\":1}", 9);
                        bench.note("opening a scroll: %s", answer == null ? "none" : answer.status());
                    } catch (IOException e) {
                        bench.note("opening a scroll: %s", e.getMessage());
                    }
                });
                client.setDaemon(true);
                client.start();
            }
            Thread.sleep(100);
            // Reads on until a page needs the node that hangs.
            boolean held = true;
            for (int page = 0; page < 9 && held; page++) {
                double askedAt = bench.now();
                HttpCaller.Answer next = caller.call(
                        "POST", "/_search/scroll", json, "{\"scroll_id\":\"" + scroll + "\",\"scroll\":\"1m\"}", 15);
                double tookS = bench.now() - askedAt;
                held = next != null && tookS <= LOST_AFTER_S;
                bench.note("page %d: %s after %.3f s", page, next == null ? "none" : next.status(), tookS);
            }
            bench.noteLog("reports-1");
            return held;
        }
    }
}
