import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Ledger nodes that speak the OpenSearch-style API send one answer in ten twice, the second copy right after the first,
 * while nothing else waits on the connection. Each client must get what the nodes made for its own request.
 */
final class SecondCopies {

    private static final int ROUNDS = 20;
    private static final int SEARCHES = 4;
    private static final int UPDATES = 4;
    private static final int WORK_MS = 60;
    private static final int COPY_EVERY = 10;
    private static final double WAIT_S = 4;
    private static final Pattern SHARD = Pattern.compile("(?:preference=_shards:|routing=)([0-9]+)");
    private static final Pattern MARK = Pattern.compile("\"mark\":\"([^\"]*)\"");
    private static final Pattern UPDATE_ID = Pattern.compile("\"_id\":\"([^\"]*)\"");

    private SecondCopies() {}

    public static void main(String[] arguments) {
        Bench.run(arguments[0], SecondCopies::play);
    }

    private static boolean play(Bench bench) throws Exception {
        Set<String> applied = ConcurrentHashMap.newKeySet();
        AtomicInteger answers = new AtomicInteger();
        AtomicInteger copies = new AtomicInteger();
        List<String> addresses = new ArrayList<>();
        for (int cell = 0; cell < SmallDeployment.CELLS; cell++) {
            String node = "ledger-" + cell;
            addresses.add(new HttpPeer(request -> {
                        byte[] answer = answer(bench, node, request, applied);
                        if (answers.incrementAndGet() % COPY_EVERY != 0 || !bench.trouble) {
                            return answer;
                        }
                        copies.incrementAndGet();
                        bench.note("%s sends its answer to %s twice", node, request.target());
                        byte[] twice = java.util.Arrays.copyOf(answer, 2 * answer.length);
                        System.arraycopy(answer, 0, twice, answer.length, answer.length);
                        return twice;
                    })
                    .address());
        }
        int port = Bench.freePort();
        bench.startGatherer(
                "reports-1",
                bench.file("config.json", SmallDeployment.openSearchFile(port, addresses)),
                java.util.Map.of());
        bench.awaitReady(port, "/");
        ExecutorService clients = Executors.newFixedThreadPool(SEARCHES + UPDATES, task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        int served = 0;
        int foreign = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<Future<Integer>> results = new ArrayList<>();
            for (int i = 0; i < SEARCHES + UPDATES; i++) {
                String mark = "r" + round + "c" + i;
                int range = (round + i) % SmallDeployment.RANGES;
                boolean search = i < SEARCHES;
                results.add(clients.submit(
                        () -> search ? search(bench, port, mark) : update(bench, port, mark, range, applied)));
            }
            for (Future<Integer> result : results) {
                int outcome = result.get(2 * (long) WAIT_S, TimeUnit.SECONDS);
                served += outcome >= 0 ? 1 : 0;
                foreign += outcome > 0 ? 1 : 0;
            }
        }
        bench.note("%d answers of the nodes, %d of them twice", answers.get(), copies.get());
        bench.note("%d requests served, %d of them with what was not made for them", served, foreign);
        if (served == 0) {
            throw new IllegalStateException("nothing was served");
        }
        return foreign == 0;
    }

    /** Answers as a sound node does, after some work. */
    private static byte[] answer(Bench bench, String node, HttpPeer.Request request, Set<String> applied)
            throws InterruptedException {
        Matcher shard = SHARD.matcher(request.target());
        if (!shard.find()) {
            return HttpPeer.json(200, "{}");
        }
        Thread.sleep(WORK_MS);
        if (request.target().contains("/_update/")) {
            String id = request.target().replaceAll(".*/_update/([^?]*).*", "$1");
            applied.add(id);
            bench.note("%s applies the update of %s", node, id);
            return HttpPeer.json(
                    200,
                    "{\"_index\":\"wallets\",\"_id\":\"" + id + "\",\"_version\":2,\"result\":\"updated\","
                            + "\"_shards\":{\"total\":2,\"successful\":2,\"failed\":0}}");
        }
        Matcher mark = MARK.matcher(request.body());
        String found = mark.find() ? mark.group(1) : "?";
        return HttpPeer.json(
                200,
                "{\"took\":1,\"timed_out\":false,\"_shards\":{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":0},"
                        + "\"hits\":{\"total\":{\"value\":1,\"relation\":\"eq\"},\"max_score\":1.0,\"hits\":[{\"_index\":"
                        + "\"history\",\"_id\":\"" + shard.group(1) + "\",\"_score\":1.0,\"_source\":{\"mark\":\"" + found
                        + "\",\"range\":" + shard.group(1) + "}}]}}");
    }

    /** Returns how many hits belong to another request, or -1 if the search was not served. */
    private static int search(Bench bench, int port, String mark) throws Exception {
        try (HttpCaller caller = new HttpCaller(port)) {
            HttpCaller.Answer answer = caller.call(
                    "POST",
                    "/history/_search",
                    "Content-Type: application/json\r\n",
                    "{\"size\":20,\"query\":{\"term\":{\"mark\":\"" + mark + "\"}}}",
                    WAIT_S);
            if (answer == null || answer.status() != 200) {
                bench.note("search %s: %s", mark, answer == null ? "no answer" : answer.status());
                return -1;
            }
            List<String> marks = new ArrayList<>();
            Matcher each = MARK.matcher(answer.body());
            while (each.find()) {
                marks.add(each.group(1));
            }
            long foreign = marks.stream().filter(found -> !found.equals(mark)).count()
                    + (answer.body().contains("\"updated\"") ? 1 : 0);
            bench.note("search %s: 200, hits of %s%s", mark, marks, foreign > 0 ? " FOREIGN" : "");
            return (int) foreign;
        }
    }

    /** Returns 1 if the answer is that to another request, or the update was never applied; -1 if it was not served. */
    private static int update(Bench bench, int port, String mark, int range, Set<String> applied) throws Exception {
        try (HttpCaller caller = new HttpCaller(port)) {
            HttpCaller.Answer answer = caller.call(
                    "POST",
                    "/wallets/_update/w-" + mark + "?routing=" + range,
                    "Content-Type: application/json\r\nIdempotency-Key: k-" + mark + "\r\n",
                    "{\"script\":{\"source\":\"ctx._source.balance += 5\"}}",
                    WAIT_S);
            if (answer == null || answer.status() != 200) {
                bench.note("update w-%s: %s", mark, answer == null ? "no answer" : answer.status());
                return -1;
            }
            Matcher id = UPDATE_ID.matcher(answer.body());
            String told = id.find() ? id.group(1) : "none";
            boolean own = told.equals("w-" + mark) && applied.contains("w-" + mark);
            bench.note(
                    "update w-%s: 200 for %s, %s%s",
                    mark, told, applied.contains("w-" + mark) ? "applied" : "NOT APPLIED", own ? "" : " FOREIGN");
            return own ? 0 : 1;
        }
    }
}
