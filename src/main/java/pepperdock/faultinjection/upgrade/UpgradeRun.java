package pepperdock.faultinjection.upgrade;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import pepperdock.faultinjection.ChildProcessGuard;
import pepperdock.faultinjection.FaultyDisk;

/**
 * Plays one plan of upgrades: processes of one gatherer that share the clients' address and the folder for lasting
 * state, workers, discovery and clients. The old process gets SIGTERM once the new one is ready, and SIGKILL at the
 * earliest moment that the protocol allows.
 */
public final class UpgradeRun implements AutoCloseable {

    /**
     * The result of a run.
     *
     * @param findings what breaks a rule, a line each
     * @param events what was done, with seconds since the begin of the run
     */
    public record Result(long seed, int sends, int requests, long unread, List<String> findings, List<String> events) {}

    private static final int WORKERS = 4;
    private static final int CLIENTS = 6;
    private static final int CROWD = 60;
    private static final int MIN_TIMEOUT_MS = 300;
    private static final int MAX_TIMEOUT_MS = 2000;
    private static final int MAX_PAUSE_MS = 40;
    /** Time before the start of a new process in which faults may begin. */
    private static final double LEAD_S = 1.2;

    private static final double READY_TIMEOUT_S = 8;
    private static final double READY_INTERVAL_S = 0.02;
    /** The longest deadline of the classes, capped at 3 s, and 0.7 s. */
    private static final double TERM_TO_KILL_S = 3.7;

    private static final double SETTLE_S = 0.8;
    private static final double EXIT_TIMEOUT_S = 10;

    private final UpgradePlan plan;
    private final Path folder;
    private final List<String> command;
    private final UpgradeHistory history = new UpgradeHistory();
    private final ChildProcessGuard guard = new ChildProcessGuard();
    private final DiscoveryStub discovery = new DiscoveryStub();
    private final List<WorkerStub> workers = new ArrayList<>();
    private final List<ClientStub> clients = new ArrayList<>();
    private final List<Thread> clientThreads = new ArrayList<>();
    private final List<Socket> crowd = new ArrayList<>();
    private final List<GathererProcess> processes = new ArrayList<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final int port = GathererProcess.freePort();
    private int started;
    /** Whether the process started last has been ready. */
    private boolean lastWasReady;

    private UpgradeRun(UpgradePlan plan, Path folder, String settings, List<String> command) throws IOException {
        this.plan = plan;
        this.folder = folder;
        this.command = command;
        Files.createDirectories(folder.resolve(FaultyDisk.STATE_FOLDER));
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new WorkerStub(worker(i), history.sends::add));
            discovery.add(worker(i), workers.get(i).address(), i);
        }
        Files.writeString(
                folder.resolve("config.json"),
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery.address()
                        + "\",\"known\":" + discovery.completeList() + ",\"settings\":" + settings + "}");
    }

    /**
     * Plays the plan of a seed.
     *
     * @param folder an empty folder for configuration, state and logs
     * @param settings the settings of the deployment, as JSON, with four cells
     * @param command the command of one gatherer; its first word is the JVM
     */
    public static Result play(long seed, Path folder, String settings, List<String> command)
            throws IOException, InterruptedException {
        try (UpgradeRun run = new UpgradeRun(UpgradePlan.draw(seed, WORKERS), folder, settings, command)) {
            run.play();
            return run.result();
        }
    }

    private static String worker(int index) {
        return "w" + index;
    }

    private Result result() {
        history.changes = discovery.changes();
        long unread = List.copyOf(history.requests).stream()
                .filter(request -> request.outcome() == ClientStub.Outcome.UNREAD)
                .count();
        return new Result(
                plan.seed(),
                history.sends.size(),
                history.requests.size(),
                unread,
                UpgradeChecker.check(history),
                List.copyOf(history.events));
    }

    private void play() throws IOException, InterruptedException {
        GathererProcess current = start();
        awaitReady(current);
        startClients();
        sleep(SETTLE_S);
        for (UpgradePlan.Step step : plan.steps()) {
            current = upgrade(current, step);
            recover(step);
        }
        stopClients();
        current.signal("TERM");
        current.awaitEnd(EXIT_TIMEOUT_S);
    }

    private GathererProcess start() throws IOException {
        String name = "p" + ++started;
        lastWasReady = false;
        boolean faultyDisk =
                plan.steps().stream().anyMatch(step -> !step.diskFault().isEmpty());
        GathererProcess process = new GathererProcess(guard, command, folder, name, faultyDisk);
        processes.add(process);
        history.addEvent(name + " started");
        return process;
    }

    /** Waits until the process started last is ready, or until {@code endS}, and records when it was. */
    private void awaitReady(GathererProcess process, double endS) throws InterruptedException {
        while (!lastWasReady && process.isAlive() && MonotonicClock.now() < endS) {
            if (process.isReady()) {
                lastWasReady = true;
                history.starts.add(new UpgradeHistory.Start("p" + started, process.startedAtS(), MonotonicClock.now()));
                history.addEvent("p" + started + " ready");
            } else {
                sleep(READY_INTERVAL_S);
            }
        }
    }

    private void awaitReady(GathererProcess process) throws InterruptedException {
        awaitReady(process, process.startedAtS() + READY_TIMEOUT_S);
        if (!lastWasReady) {
            history.starts.add(new UpgradeHistory.Start("p" + started, process.startedAtS(), Double.NaN));
            history.addEvent("p" + started + " not ready");
        }
    }

    /** Replaces the process; returns the one that serves afterwards. */
    private GathererProcess upgrade(GathererProcess old, UpgradePlan.Step step)
            throws IOException, InterruptedException {
        history.addEvent(step.toString());
        schedule(step.drainAtS(), () -> changeWorker(step.drainedWorker(), "terminating"));
        schedule(step.discoveryFaultFromS(), () -> setDiscoveryFault(step.discoveryFault()));
        schedule(step.discoveryFaultUntilS(), () -> setDiscoveryFault(DiscoveryStub.Fault.NONE));
        if (!step.diskFault().isEmpty()) {
            schedule(step.diskFaultFromS(), () -> setDiskFault(step.diskFault()));
            schedule(step.diskFaultUntilS(), () -> setDiskFault(""));
        }
        sleep(LEAD_S);
        GathererProcess next = start();
        if (step.death() != UpgradePlan.Death.NONE) {
            GathererProcess victim = step.death() == UpgradePlan.Death.OLD_PROCESS ? old : next;
            double deathAtS = next.startedAtS() + step.deathAtS();
            awaitReady(next, deathAtS);
            sleep(Math.max(0, deathAtS - MonotonicClock.now()));
            kill(victim, step.death().toString());
            if (victim == next) {
                next = start();
            }
        }
        awaitReady(next);
        terminate(old, step.repeatSignals());
        return next;
    }

    private void kill(GathererProcess victim, String which) throws IOException, InterruptedException {
        history.kills.add(MonotonicClock.now());
        victim.signal("KILL");
        victim.awaitEnd(EXIT_TIMEOUT_S);
        history.addEvent(which + " killed");
    }

    private void terminate(GathererProcess old, boolean repeatSignals) throws IOException, InterruptedException {
        double termAtS = MonotonicClock.now();
        old.signal("TERM");
        history.addEvent("SIGTERM to the old process");
        if (repeatSignals) {
            for (String name : List.of("HUP", "TERM", "HUP", "TERM")) {
                sleep(0.1);
                old.signal(name);
            }
        }
        double leftS = termAtS + TERM_TO_KILL_S - MonotonicClock.now();
        if (old.awaitEnd(leftS)) {
            history.addEvent("the old process has ended");
            sleep(Math.max(0, termAtS + TERM_TO_KILL_S - MonotonicClock.now()));
        } else {
            old.signal("KILL");
            old.awaitEnd(EXIT_TIMEOUT_S);
            history.addEvent("the old process was still there and is killed");
        }
    }

    /** Ends the faults of a step and lets the worker serve again. */
    private void recover(UpgradePlan.Step step) throws InterruptedException {
        double endS = MonotonicClock.now()
                + Math.max(0, step.discoveryFaultUntilS() - TERM_TO_KILL_S - UpgradeChecker.TOLD_AFTER_READY_S);
        sleep(Math.max(0, endS - MonotonicClock.now()));
        setDiscoveryFault(DiscoveryStub.Fault.NONE);
        setDiskFault("");
        sleep(SETTLE_S);
        changeWorker(step.drainedWorker(), "in_service");
        sleep(SETTLE_S);
    }

    private void schedule(double afterStartS, Runnable action) {
        var unused = timer.schedule(action, (long) ((LEAD_S + afterStartS) * 1e3), TimeUnit.MILLISECONDS);
    }

    private void changeWorker(int index, String health) {
        discovery.change(worker(index), health);
        history.addEvent(worker(index) + ' ' + health);
    }

    private void setDiscoveryFault(DiscoveryStub.Fault fault) {
        discovery.setFault(fault);
        history.addEvent("discovery " + fault);
    }

    private void setDiskFault(String fault) {
        try {
            FaultyDisk.setFault(folder, fault);
            history.addEvent("disk " + (fault.isEmpty() ? "sound" : fault));
        } catch (IOException e) {
            history.addEvent("disk fault not set: " + e);
        }
    }

    private void startClients() throws IOException {
        SplittableRandom random = new SplittableRandom(plan.seed() + 1);
        for (int i = 0; i < CLIENTS; i++) {
            boolean leaves = plan.clientsLeave() && i % 2 == 0;
            ClientStub client = new ClientStub(
                    port,
                    random.split(),
                    new ClientStub.Behaviour(leaves, MIN_TIMEOUT_MS, MAX_TIMEOUT_MS, MAX_PAUSE_MS),
                    history.requests::add);
            clients.add(client);
            Thread thread = new Thread(client, "client " + i);
            thread.setDaemon(true);
            thread.start();
            clientThreads.add(thread);
        }
        for (int i = 0; plan.crowd() && i < CROWD; i++) {
            crowd.add(new Socket(InetAddress.getLoopbackAddress(), port));
        }
    }

    private void stopClients() throws InterruptedException {
        clients.forEach(ClientStub::stop);
        for (Thread thread : clientThreads) {
            thread.join((long) (EXIT_TIMEOUT_S * 1e3));
        }
    }

    private static void sleep(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * 1e3));
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        clients.forEach(ClientStub::stop);
        for (GathererProcess process : processes) {
            process.signal("KILL");
        }
        for (Socket idle : crowd) {
            idle.close();
        }
        for (WorkerStub worker : workers) {
            worker.close();
        }
        discovery.close();
        guard.close();
    }
}
