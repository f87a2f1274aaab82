import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Three gatherers with the replicated store. The configuration is changed while one member is down, and the member comes
 * back when the change is done. From then on all three must apply the same configuration.
 */
final class StaleSettings {

    private static final List<String> MEMBERS = List.of("a", "b", "c");
    private static final String NEW_CLASS =
            "{\"Name\":\"wallet-audit\",\"GoalTimeS\":1.5,\"DeadlineS\":3.0,\"Effect\":\"read_like\",\"WindowS\":5.0,"
                    + "\"LateWorth\":0.1,\"Worth\":1.0,\"Group\":\"all\",\"Streamed\":false}";
    private static final double SETTLE_S = 10;
    private static final int WORK_MS = 60;

    private StaleSettings() {}

    public static void main(String[] arguments) {
        Bench.run(arguments[0], StaleSettings::play);
    }

    private static boolean play(Bench bench) throws Exception {
        List<String> nodes = new ArrayList<>();
        for (int cell = 0; cell < SmallDeployment.CELLS; cell++) {
            nodes.add(new FramePeer("ledger-" + cell, WORK_MS, part -> "good").address());
        }
        Map<String, Integer> ports = new LinkedHashMap<>();
        StringBuilder members = new StringBuilder();
        for (String name : MEMBERS) {
            ports.put(name, Bench.freePort());
            members.append(members.length() == 0 ? "" : ",")
                    .append("{\"name\":\"" + name + "\",\"address\":\"" + Bench.HOST + ":" + Bench.freePort() + "\"}");
        }
        String before = SmallDeployment.settings();
        String after = SmallDeployment.settings(
                List.of(SmallDeployment.HISTORY, SmallDeployment.PAYOUT, SmallDeployment.ADJUST, NEW_CLASS),
                "[0.6,1.0,1.0,1.0]");
        Map<String, Process> running = new LinkedHashMap<>();
        for (String name : MEMBERS) {
            running.put(name, start(bench, name, ports, members, nodes, name.equals("a") ? before : null));
        }
        if (bench.trouble) {
            bench.note("member b is killed");
            bench.signal("KILL", running.get("b"));
            running.get("b").waitFor();
        }
        bench.note("the configuration is changed: the class wallet-audit is added; the members are restarted, the leader first");
        stop(bench, running.get("a"));
        running.put("a", start(bench, "a", ports, members, nodes, after));
        Thread.sleep(3000);
        for (String name : List.of("c", "b")) {
            if (name.equals("b") && bench.trouble) {
                bench.note("member b comes back");
            } else {
                stop(bench, running.get(name));
            }
            running.put(name, start(bench, name, ports, members, nodes, null));
        }
        Thread.sleep((long) (SETTLE_S * 1e3));
        Map<String, Integer> answers = new LinkedHashMap<>();
        for (String name : MEMBERS) {
            for (String queryClass : List.of("balance-adjust", "wallet-audit")) {
                try (HttpCaller caller = new HttpCaller(ports.get(name))) {
                    HttpCaller.Answer answer = caller.call(
                            "POST",
                            "/api",
                            "Request-Id: " + name + queryClass + "\r\nRequest-Class: " + queryClass
                                    + "\r\nRequest-Timeout-Ms: 3000\r\nIdempotency-Key: k" + name + "\r\n",
                            "{\"ranges\":[{\"range\":1,\"portion\":1.0}],\"predicate\":\"p\"}",
                            4);
                    bench.note("gatherer %s answers a query of %s: %s", name, queryClass, answer);
                    if (answer == null || queryClass.equals("balance-adjust") && answer.status() != 200) {
                        throw new IOException("gatherer " + name + " does not serve");
                    }
                    answers.put(name + " " + queryClass, answer.status());
                }
            }
        }
        for (String name : MEMBERS) {
            bench.noteLog(name);
        }
        return MEMBERS.stream().map(name -> answers.get(name + " wallet-audit")).distinct().count() == 1;
    }

    private static Process start(
            Bench bench,
            String name,
            Map<String, Integer> ports,
            CharSequence members,
            List<String> nodes,
            String settings)
            throws IOException, InterruptedException {
        String file = "{\"name\":\"" + name + "\",\"listen\":\"" + Bench.HOST + ":" + ports.get(name)
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":1024},\"known\":{\"seq\":1,\"whole\":true,"
                + "\"hosts\":[" + SmallDeployment.hosts(nodes) + "]},\"store\":{\"self\":\"" + name
                + "\",\"leader\":\"a\",\"folder\":\"" + bench.folder("store-" + name)
                + "\",\"retry_s\":1,\"snapshot_every\":1000,\"members\":[" + members + "]}"
                + (settings == null ? "" : ",\"settings\":" + settings) + "}";
        Process process = bench.startGatherer(name, bench.file(name + ".json", file), Map.of());
        bench.awaitReady(ports.get(name), "/-/ready");
        return process;
    }

    private static void stop(Bench bench, Process process) throws IOException, InterruptedException {
        bench.signal("TERM", process);
        if (!process.waitFor(10, TimeUnit.SECONDS)) {
            throw new IOException("did not end after SIGTERM");
        }
    }
}
