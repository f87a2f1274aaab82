import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import pepperdock.faultinjection.ChildProcessGuard;
import pepperdock.faultinjection.upgrade.ClientStub;
import pepperdock.faultinjection.upgrade.DiscoveryStub;
import pepperdock.faultinjection.upgrade.GathererProcess;
import pepperdock.faultinjection.upgrade.SmallDeployment;
import pepperdock.faultinjection.upgrade.WorkerStub;

/**
 * Latency and processor time of ordinary clients' requests without trouble, of two builds in turn: {@code java -cp
 * target/pepperdock.jar tools/CalmLatency.java ROUNDS BEFORE/deploy/start AFTER/deploy/start}.
 */
final class CalmLatency {

    private static final int WORKERS = 4;
    private static final int CLIENTS = 8;
    private static final int RUN_MS = 10_000;
    private static final int WARM_UP_MS = 2_000;

    public static void main(String[] arguments) throws Exception {
        for (int round = 0; round < Integer.parseInt(arguments[0]); round++) {
            for (int build = 1; build < arguments.length; build++) {
                measure(arguments[build]);
            }
        }
        System.exit(0);
    }

    private static void measure(String start) throws Exception {
        Path folder = Files.createTempDirectory("calm");
        Files.createDirectory(folder.resolve("state"));
        int port = GathererProcess.freePort();
        List<ClientStub.Request> requests = Collections.synchronizedList(new ArrayList<>());
        List<ClientStub> clients = new ArrayList<>();
        try (ChildProcessGuard guard = new ChildProcessGuard();
                DiscoveryStub discovery = new DiscoveryStub()) {
            for (int i = 0; i < WORKERS; i++) {
                discovery.add("w" + i, new WorkerStub("w" + i, send -> {}).address(), i);
            }
            Files.writeString(
                    folder.resolve("config.json"),
                    "{\"name\":\"n\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery.address()
                            + "\",\"known\":" + discovery.completeList() + ",\"settings\":" + SmallDeployment.SETTINGS
                            + "}");
            GathererProcess process =
                    new GathererProcess(guard, List.of("sh", start, "serve"), folder, "gatherer", false);
            while (!process.isReady()) {
                Thread.sleep(20);
            }
            for (int i = 0; i < CLIENTS; i++) {
                ClientStub client = new ClientStub(
                        port, new SplittableRandom(i), new ClientStub.Behaviour(false, 900, 1000, 40), requests::add);
                clients.add(client);
                Thread thread = new Thread(client);
                thread.setDaemon(true);
                thread.start();
            }
            Thread.sleep(WARM_UP_MS);
            requests.clear();
            long ticks = ticks(process);
            Thread.sleep(RUN_MS);
            List<ClientStub.Request> measured = List.copyOf(requests);
            ticks = ticks(process) - ticks;
            clients.forEach(ClientStub::stop);
            process.signal("KILL");
            double[] ms = measured.stream()
                    .mapToDouble(request -> (request.endedAtS() - request.sentAtS()) * 1e3)
                    .sorted()
                    .toArray();
            System.out.printf(
                    "%s: %d requests, p50 %.2f ms, p99 %.2f ms, processor time %.3f ms a request%n",
                    start, ms.length, ms[ms.length / 2], ms[ms.length * 99 / 100], ticks * 10.0 / ms.length);
        }
    }

    /** Returns the processor time used so far, in ticks of 10 ms. */
    private static long ticks(GathererProcess process) throws Exception {
        String[] fields = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat")).split(" ");
        return Long.parseLong(fields[13]) + Long.parseLong(fields[14]);
    }
}
