package pepperdock.faultinjection.overload;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import pepperdock.faultinjection.ChildProcessGuard;
import pepperdock.faultinjection.FaultyDisk;
import pepperdock.faultinjection.upgrade.ClientStub;
import pepperdock.faultinjection.upgrade.DiscoveryStub;
import pepperdock.faultinjection.upgrade.GathererProcess;
import pepperdock.faultinjection.upgrade.MonotonicClock;
import pepperdock.faultinjection.upgrade.RequestChecker;
import pepperdock.faultinjection.upgrade.WorkerStub;

/** Plays one plan of overload against one process of a gatherer, with workers, discovery and ordinary clients. */
public final class OverloadRun implements AutoCloseable {

    /**
     * The result of a run.
     *
     * @param findings what breaks a rule, a line each
     * @param requests the number of requests of ordinary clients
     * @param served how many of them were answered with status 200
     * @param slowestAnswerS the longest time that an ordinary client waited for its answer
     * @param peakMemoryMb the greatest resident memory of the gatherer, in MiB
     * @param rigDelayS the longest time by which a thread of the rig ran late
     * @param metrics the metrics of the gatherer at the end
     */
    public record Result(
            OverloadPlan plan,
            List<String> findings,
            int requests,
            int served,
            double slowestAnswerS,
            long peakMemoryMb,
            double rigDelayS,
            String metrics) {}

    private static final int WORKERS = 4;
    private static final int CLIENTS = 5;
    /** Ordinary clients have the short time limits of the platform's short days. */
    private static final ClientStub.Behaviour ORDINARY = new ClientStub.Behaviour(false, 160, 600, 80);

    private static final ClientStub.Behaviour LEAVING = new ClientStub.Behaviour(true, 160, 600, 80);
    /** Limit of the platform on scored days. */
    private static final int MEMORY_LIMIT_MB = 192;

    private static final double READY_TIMEOUT_S = 15;
    private static final long READY_INTERVAL_MS = 20;
    private static final double QUIET_S = 1;
    private static final long CLIENT_TIMEOUT_MS = 5000;
    private static final double MS_PER_S = 1e3;
    private static final int KIB_PER_MIB = 1024;

    private final OverloadPlan plan;
    private final List<WorkerStub.Send> sends = Collections.synchronizedList(new ArrayList<>());
    private final List<ClientStub.Request> requests = Collections.synchronizedList(new ArrayList<>());
    private final ChildProcessGuard guard = new ChildProcessGuard();
    private final DiscoveryStub discovery = new DiscoveryStub();
    private final List<WorkerStub> workers = new ArrayList<>();
    private final List<ClientStub> clients = new ArrayList<>();
    private final List<Thread> clientThreads = new ArrayList<>();
    private final int port = GathererProcess.freePort();
    private final GathererProcess process;
    private final RigDelay rigDelay = new RigDelay();
    private final SplittableRandom random;
    private double startedAtS;
    private long peakMemoryMb;
    private String metrics = "";
    private String operatorFailure = "";

    private OverloadRun(OverloadPlan plan, Path folder, String settings, List<String> command) throws IOException {
        this.plan = plan;
        random = new SplittableRandom(plan.seed());
        Files.createDirectories(folder.resolve(FaultyDisk.STATE_FOLDER));
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new WorkerStub("w" + i, sends::add));
            discovery.add("w" + i, workers.get(i).address(), i);
        }
        Files.writeString(
                folder.resolve("config.json"),
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery.address()
                        + "\",\"limits\":{\"memory_mb\":" + MEMORY_LIMIT_MB + ",\"sockets\":" + plan.sockets()
                        + "},\"known\":" + discovery.completeList() + ",\"settings\":" + settings + "}");
        process = new GathererProcess(guard, command, folder, "gatherer", false);
    }

    /**
     * Plays a plan.
     *
     * @param folder an empty folder for configuration, state and log
     * @param settings the settings of the deployment, as JSON, with four cells
     * @param command the command of one gatherer, which must end in a single process
     */
    public static Result play(OverloadPlan plan, Path folder, String settings, List<String> command)
            throws IOException, InterruptedException {
        try (OverloadRun run = new OverloadRun(plan, folder, settings, command)) {
            run.play();
            return run.result();
        }
    }

    private void play() throws IOException, InterruptedException {
        awaitReady();
        startedAtS = MonotonicClock.now();
        CpuShare share = new CpuShare(process, plan.cpuShare());
        try {
            startClients();
            sleep(QUIET_S);
            for (OverloadPlan.Phase phase : plan.phases()) {
                play(phase);
                sleep(QUIET_S);
            }
            stopClients();
        } finally {
            share.close();
        }
        peakMemoryMb = peakMemoryMb();
        try {
            metrics = process.call("GET /-/metrics");
        } catch (IOException e) {
            operatorFailure = e.toString();
        }
    }

    private void awaitReady() throws IOException, InterruptedException {
        double untilS = MonotonicClock.now() + READY_TIMEOUT_S;
        while (!process.isReady()) {
            if (!process.isAlive() || MonotonicClock.now() > untilS) {
                throw new IOException("the gatherer is not ready: " + process.log());
            }
            Thread.sleep(READY_INTERVAL_MS);
        }
    }

    private void play(OverloadPlan.Phase phase) throws IOException, InterruptedException {
        List<FloodClient> flooders = new ArrayList<>();
        SlowClients slowClients = new SlowClients(port, phase.slowKind(), phase.slowClients());
        try {
            for (int i = 0; i < phase.flooders(); i++) {
                flooders.add(new FloodClient(port, phase.message(), phase.pace(), random.split()));
            }
            sleep(phase.durationS());
        } finally {
            slowClients.close();
            for (FloodClient flooder : flooders) {
                flooder.close();
            }
        }
    }

    private void startClients() {
        for (int i = 0; i < CLIENTS; i++) {
            ClientStub client = new ClientStub(
                    port, random.split(), plan.clientsLeave() && i % 2 == 0 ? LEAVING : ORDINARY, requests::add);
            clients.add(client);
            clientThreads.add(RigThreads.start(client, "client " + i));
        }
    }

    private void stopClients() throws InterruptedException {
        clients.forEach(ClientStub::stop);
        for (Thread thread : clientThreads) {
            thread.join(CLIENT_TIMEOUT_MS);
        }
    }

    private Result result() throws IOException {
        List<String> findings = new ArrayList<>(RequestChecker.check(requests, sends, List.of(), this::time));
        if (!process.isAlive()) {
            findings.add("crash: the gatherer has ended: " + process.log());
        }
        if (!operatorFailure.isEmpty()) {
            findings.add("operators: no metrics at the end: " + operatorFailure);
        }
        if (peakMemoryMb > MEMORY_LIMIT_MB) {
            findings.add("memory: " + peakMemoryMb + " MiB, limit " + MEMORY_LIMIT_MB);
        }
        List<ClientStub.Request> answered = List.copyOf(requests).stream()
                .filter(request -> request.outcome() == ClientStub.Outcome.ANSWERED)
                .toList();
        return new Result(
                plan,
                findings,
                requests.size(),
                (int) answered.stream()
                        .filter(request -> request.detail().startsWith("HTTP/1.1 200"))
                        .count(),
                answered.stream()
                        .mapToDouble(request -> request.endedAtS() - request.sentAtS())
                        .max()
                        .orElse(0),
                peakMemoryMb,
                rigDelay.longestS(),
                metrics);
    }

    /** Returns the greatest resident memory of the gatherer so far; 0 if it has ended. */
    private long peakMemoryMb() throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        if (!Files.exists(status)) {
            return 0;
        }
        return Files.readAllLines(status).stream()
                        .filter(line -> line.startsWith("VmHWM:"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                        .findFirst()
                        .orElse(0)
                / KIB_PER_MIB;
    }

    private String time(double atS) {
        return String.format(Locale.ROOT, "%.3f", atS - startedAtS);
    }

    private static void sleep(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * MS_PER_S));
    }

    @Override
    public void close() throws IOException {
        clients.forEach(ClientStub::stop);
        process.signal("KILL");
        for (WorkerStub worker : workers) {
            worker.close();
        }
        discovery.close();
        guard.close();
        rigDelay.close();
    }
}
