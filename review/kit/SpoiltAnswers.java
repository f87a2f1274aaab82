import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Ledger nodes that speak the OpenSearch-style API spoil one answer in ten by one byte of noise, so that its body is no
 * JSON any more. Each search must get its one final answer within its time, and nothing that no node made.
 */
final class SpoiltAnswers {

    private static final int SEARCHES = 30;
    private static final int WORK_MS = 60;
    private static final int SPOIL_EVERY = 10;
    private static final long SEED = 42;
    /** The class's deadline, and half a second after which an answer is lost (and 50 ms of the rules on sockets). */
    private static final double LOST_AFTER_S = 3.0 + 0.5 + 0.05;
    private static final double WAIT_S = 8;
    private static final Pattern SHARD = Pattern.compile("preference=_shards:([0-9]+)");
    private static final Pattern HIT = Pattern.compile("\"_score\":([^,]*),\"_source\":\\{\"mark\":\"([^\"]*)\"");

    private SpoiltAnswers() {}

    public static void main(String[] arguments) {
        Bench.run(arguments[0], SpoiltAnswers::play);
    }

    private static boolean play(Bench bench) throws Exception {
        Random noise = new Random(SEED);
        AtomicInteger answers = new AtomicInteger();
        AtomicInteger spoilt = new AtomicInteger();
        List<String> addresses = new ArrayList<>();
        for (int cell = 0; cell < SmallDeployment.CELLS; cell++) {
            String node = "ledger-" + cell;
            addresses.add(new HttpPeer(request -> {
                        Matcher shard = SHARD.matcher(request.target());
                        if (!shard.find()) {
                            return HttpPeer.json(200, "{}");
                        }
                        Thread.sleep(WORK_MS);
                        String mark = request.body().replaceAll(".*\"mark\":\"([^\"]*)\".*", "$1");
                        String score = "0.5";
                        if (bench.trouble && answers.incrementAndGet() % SPOIL_EVERY == 0) {
                            spoilt.incrementAndGet();
                            // One byte of the number becomes a letter: no strict reader takes the body for JSON.
                            score = "0." + (char) ('g' + noise.nextInt(20));
                            bench.note("%s spoils its answer to %s: a score of %s", node, request.target(), score);
                        }
                        return HttpPeer.json(
                                200,
                                "{\"took\":1,\"timed_out\":false,\"_shards\":{\"total\":1,\"successful\":1,"
                                        + "\"skipped\":0,\"failed\":0},\"hits\":{\"total\":{\"value\":1,\"relation\":"
                                        + "\"eq\"},\"max_score\":0.5,\"hits\":[{\"_index\":\"history\",\"_id\":\""
                                        + shard.group(1) + "\",\"_score\":" + score + ",\"_source\":{\"mark\":\"" + mark
                                        + "\"}}]}}");
                    })
                    .address());
        }
        int port = Bench.freePort();
        bench.startGatherer(
                "reports-1",
                bench.file("config.json", SmallDeployment.openSearchFile(port, addresses)),
                Map.of());
        bench.awaitReady(port, "/");
        int answered = 0;
        int lost = 0;
        int wrong = 0;
        for (int i = 0; i < SEARCHES && lost < 4; i++) {
            String mark = "c" + i;
            try (HttpCaller caller = new HttpCaller(port)) {
                double sentAt = bench.now();
                HttpCaller.Answer answer = caller.call(
                        "POST",
                        "/history/_search",
                        "Content-Type: application/json\r\n",
                        "{\"size\":20,\"query\":{\"term\":{\"mark\":\"" + mark + "\"}}}",
                        WAIT_S);
                double tookS = bench.now() - sentAt;
                if (answer == null || tookS > LOST_AFTER_S) {
                    lost++;
                    bench.note("search %s: LOST, %s after %.3f s", mark, answer == null ? "no answer" : "late", tookS);
                    continue;
                }
                answered++;
                boolean own = true;
                Matcher hit = HIT.matcher(answer.body());
                int hits = 0;
                while (hit.find()) {
                    hits++;
                    own &= hit.group(1).equals("0.5") && hit.group(2).equals(mark);
                }
                wrong += own ? 0 : 1;
                bench.note(
                        "search %s: %d after %.3f s, %d hits%s", mark, answer.status(), tookS, hits, own ? "" : " WRONG");
            }
        }
        bench.note("%d answered, %d spoilt by the nodes, %d lost, %d wrong", answered, spoilt.get(), lost, wrong);
        bench.noteLog("reports-1");
        if (answered == 0 && lost == 0) {
            throw new IllegalStateException("nothing was asked");
        }
        return lost == 0 && wrong == 0;
    }
}
