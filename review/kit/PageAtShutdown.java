import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A planned restart: SIGTERM, and SIGKILL 3.7 s later. The nodes hang through the whole of the shutdown. A client reads
 * the next page of its scroll on the connection that it has, 1.5 s after SIGTERM. It must get a final answer.
 */
final class PageAtShutdown {

    /** The longest deadline, taken as 3 s, plus 0.7 s. */
    private static final double KILL_AFTER_S = 3.7;

    private static final double ASK_AFTER_S = 1.5;
    private static final int WORK_MS = 60;

    private PageAtShutdown() {}

    public static void main(String[] arguments) {
        Bench.run(arguments[0], PageAtShutdown::play);
    }

    private static boolean play(Bench bench) throws Exception {
        AtomicBoolean hanging = new AtomicBoolean();
        AtomicInteger contexts = new AtomicInteger();
        List<String> addresses = new ArrayList<>();
        for (int cell = 0; cell < SmallDeployment.CELLS; cell++) {
            String node = "ledger-" + cell;
            addresses.add(new HttpPeer(request -> {
                        if (hanging.get()) {
                            bench.note("%s hangs on %s %s", node, request.method(), request.target());
                            return null;
                        }
                        Thread.sleep(WORK_MS);
                        return HttpPeer.json(200, page(contexts.incrementAndGet()));
                    })
                    .address());
        }
        int port = Bench.freePort();
        Process gatherer = bench.startGatherer(
                "reports-1",
                bench.file("config.json", SmallDeployment.openSearchFile(port, addresses)),
                Map.of());
        bench.awaitReady(port, "/");
        try (HttpCaller caller = new HttpCaller(port)) {
            String json = "Content-Type: application/json\r\n";
            HttpCaller.Answer first = caller.call("POST", "/payouts/_search?scroll=1m", json, "{\"size\":1}", 4);
            if (first == null || first.status() != 200) {
                throw new IOException("the scroll was not opened: " + first);
            }
            String scroll = first.body().replaceAll(".*\"_scroll_id\":\"([^\"]*)\".*", "$1");
            bench.note("scroll %s opened", scroll);
            // The first page left one hit of each range but one in hand, so that this page asks one range at least.
            hanging.set(bench.trouble);
            double termAt = bench.now();
            bench.signal("TERM", gatherer);
            Thread.sleep((long) (ASK_AFTER_S * 1e3));
            Thread killer = new Thread(() -> {
                try {
                    long leftMs = (long) ((termAt + KILL_AFTER_S - bench.now()) * 1e3);
                    if (!gatherer.waitFor(leftMs, TimeUnit.MILLISECONDS)) {
                        bench.signal("KILL", gatherer);
                    } else {
                        bench.note("the gatherer has ended by itself");
                    }
                } catch (IOException | InterruptedException e) {
                    bench.note("SIGKILL failed: %s", e);
                }
            });
            killer.start();
            double askedAt = bench.now();
            bench.note("next page asked, %.3f s after SIGTERM", askedAt - termAt);
            boolean answered = false;
            try {
                HttpCaller.Answer next = caller.call(
                        "POST", "/_search/scroll", json, "{\"scroll_id\":\"" + scroll + "\",\"scroll\":\"1m\"}", 8);
                answered = next != null;
                bench.note("next page: %s after %.3f s", next, bench.now() - askedAt);
            } catch (IOException e) {
                bench.note("next page: LOST, %s, after %.3f s", e.getMessage(), bench.now() - askedAt);
            }
            killer.join();
            bench.noteLog("reports-1");
            return answered;
        }
    }

    private static String page(int context) {
        return "{\"_scroll_id\":\"context-" + context + "\",\"took\":1,\"timed_out\":false,\"_shards\":{\"total\":1,"
                + "\"successful\":1,\"skipped\":0,\"failed\":0},\"hits\":{\"total\":{\"value\":9,\"relation\":\"eq\"},"
                + "\"max_score\":1.0,\"hits\":[{\"_index\":\"payouts\",\"_id\":\"" + context
                + "\",\"_score\":1.0,\"_source\":{}}]}}";
    }
}
