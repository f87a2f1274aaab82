import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Three gatherers with the replicated store, whose settings stand in the store alone. The leader is killed and starts
 * again from nothing. Then the members are restarted one by one. Each must serve with the settings that all had.
 */
final class LostLeader {

    private static final List<String> MEMBERS = List.of("a", "b", "c");
    private static final double SETTLE_S = 5;
    /** A gatherer that takes over 30 s to be ready fails. */
    private static final double READY_S = 30;

    private static final int WORK_MS = 60;

    private LostLeader() {}

    public static void main(String[] arguments) {
        Bench.run(arguments[0], LostLeader::play);
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
        Map<String, Process> running = new LinkedHashMap<>();
        for (String name : MEMBERS) {
            running.put(name, start(bench, name, ports, members, nodes, name.equals("a") ? before : null));
            bench.awaitReady(ports.get(name), "/-/ready");
        }
        ask(bench, ports, MEMBERS);
        bench.note("the settings are in the store now; the leader's file goes without, like the others' files");
        bench.note("the leader a is killed%s", bench.trouble ? " and starts again from nothing" : "");
        bench.signal("KILL", running.get("a"));
        running.get("a").waitFor();
        if (bench.trouble) {
            bench.empty("store-a");
        }
        running.put("a", start(bench, "a", ports, members, nodes, null));
        Thread.sleep((long) (SETTLE_S * 1e3));
        for (String name : List.of("b", "c")) {
            bench.note("planned restart of %s", name);
            stop(bench, running.get(name));
            running.put(name, start(bench, name, ports, members, nodes, null));
            Thread.sleep((long) (SETTLE_S * 1e3));
        }
        Thread.sleep((long) (READY_S * 1e3));
        int serving = ask(bench, ports, MEMBERS);
        for (String name : MEMBERS) {
            bench.noteLog(name);
        }
        return serving == MEMBERS.size();
    }

    /** Asks each gatherer once and returns how many of them serve. */
    private static int ask(Bench bench, Map<String, Integer> ports, List<String> names) {
        int serving = 0;
        for (String name : names) {
            try (HttpCaller caller = new HttpCaller(ports.get(name))) {
                HttpCaller.Answer answer = caller.call(
                        "POST",
                        "/api",
                        "Request-Id: " + name + "\r\nRequest-Class: history-search\r\nRequest-Timeout-Ms: 3000\r\n",
                        "{\"ranges\":[{\"range\":1,\"portion\":1.0}],\"predicate\":\"p\"}",
                        4);
                bench.note("gatherer %s answers: %s", name, answer);
                serving += answer != null && answer.status() == 200 ? 1 : 0;
            } catch (IOException e) {
                bench.note("gatherer %s does not answer: %s", name, e.getMessage());
            }
        }
        return serving;
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
        return bench.startGatherer(name, bench.file(name + ".json", file), Map.of());
    }

    private static void stop(Bench bench, Process process) throws IOException, InterruptedException {
        bench.signal("TERM", process);
        if (!process.waitFor(10, TimeUnit.SECONDS)) {
            throw new IOException("did not end after SIGTERM");
        }
    }
}
