import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Three gatherers with the replicated store. Its leader is cut off, takes a new configuration alone and dies; another
 * leader is named and takes another configuration; the first comes back as a follower. From then on, after all members
 * have been restarted with all of them up, all three must apply the same configuration.
 */
final class SplitLogs {

    private static final List<String> MEMBERS = List.of("a", "b", "c");
    private static final String NEW_CLASS =
            "{\"Name\":\"wallet-audit\",\"GoalTimeS\":1.5,\"DeadlineS\":3.0,\"Effect\":\"read_like\",\"WindowS\":5.0,"
                    + "\"LateWorth\":0.1,\"Worth\":1.0,\"Group\":\"all\",\"Streamed\":false}";
    private static final double SETTLE_S = 10;
    private static final int WORK_MS = 60;

    private SplitLogs() {}

    public static void main(String[] arguments) {
        Bench.run(arguments[0], SplitLogs::play);
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
            running.put(name, start(bench, name, ports, members, nodes, name.equals("a") ? before : null, "a"));
        }
        String third = SmallDeployment.settings(
                List.of(
                        SmallDeployment.HISTORY,
                        SmallDeployment.PAYOUT,
                        SmallDeployment.ADJUST,
                        NEW_CLASS.replace("wallet-audit", "wallet-check")),
                "[0.6,1.0,1.0,1.0]");
        if (bench.trouble) {
            bench.note("a is cut off: b and c cannot reach it");
            bench.signal("STOP", running.get("b"));
            bench.signal("STOP", running.get("c"));
        }
        bench.note("the configuration is changed at the leader: the class wallet-audit is added");
        stop(bench, running.get("a"));
        running.put("a", start(bench, "a", ports, members, nodes, after, "a"));
        Thread.sleep(2000);
        bench.signal("KILL", running.get("a"));
        running.get("a").waitFor();
        if (bench.trouble) {
            bench.signal("CONT", running.get("b"));
            bench.signal("CONT", running.get("c"));
        }
        bench.note("b is named the leader in all files, with another change: the class wallet-check");
        stop(bench, running.get("b"));
        running.put("b", start(bench, "b", ports, members, nodes, third, "b"));
        Thread.sleep(2000);
        stop(bench, running.get("c"));
        running.put("c", start(bench, "c", ports, members, nodes, null, "b"));
        Thread.sleep(2000);
        bench.note("a comes back, as a follower");
        running.put("a", start(bench, "a", ports, members, nodes, null, "b"));
        Thread.sleep(2000);
        for (int i = 0; i < 2; i++) {
            stop(bench, running.get("c"));
            running.put("c", start(bench, "c", ports, members, nodes, null, "b"));
            stop(bench, running.get("a"));
            running.put("a", start(bench, "a", ports, members, nodes, null, "b"));
        }
        Thread.sleep((long) (SETTLE_S * 1e3));
        Map<String, Integer> answers = new LinkedHashMap<>();
        for (String name : MEMBERS) {
            for (String queryClass : List.of("balance-adjust", "wallet-audit", "wallet-check")) {
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
        return List.of("wallet-audit", "wallet-check").stream()
                .allMatch(queryClass -> MEMBERS.stream()
                                .map(name -> answers.get(name + ' ' + queryClass))
                                .distinct()
                                .count()
                        == 1);
    }

    private static Process start(
            Bench bench,
            String name,
            Map<String, Integer> ports,
            CharSequence members,
            List<String> nodes,
            String settings,
            String leader)
            throws IOException, InterruptedException {
        String file = "{\"name\":\"" + name + "\",\"listen\":\"" + Bench.HOST + ":" + ports.get(name)
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":1024},\"known\":{\"seq\":1,\"whole\":true,"
                + "\"hosts\":[" + SmallDeployment.hosts(nodes) + "]},\"store\":{\"self\":\"" + name
                + "\",\"leader\":\"" + leader + "\",\"folder\":\"" + bench.folder("store-" + name)
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
