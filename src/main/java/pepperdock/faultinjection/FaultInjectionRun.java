package pepperdock.faultinjection;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import pepperdock.config.ConfigException;

/**
 * Runs a script: starts the fleet, performs the steps of the schedule, waits for the awaited conditions, and has the
 * history checked. One run at a time in a process; everything that it started has ended when {@link #run} returns or
 * the process ends.
 */
public final class FaultInjectionRun {

    public static final String HISTORY = "history.jsonl";
    private static final int FIRST_BLOCK = 64;
    private static final int BLOCKS = 128;
    private static final int CLAIM_PORT = 7299;
    private static final long POLL_INTERVAL_MS = 20;

    private final Script script;
    private final Path folder;
    private final List<String> command;

    private FaultInjectionRun(Script script, Path folder, List<String> command) {
        this.script = script;
        this.folder = folder;
        this.command = command;
    }

    /**
     * Runs the script in a file, in a new folder that must not exist yet, with members started by the command.
     *
     * @param seed overrides the seed of the script; null to keep it
     */
    public static Outcome run(Path file, Long seed, Path folder, List<String> command)
            throws IOException, InterruptedException {
        Script script = ScriptReader.read(file);
        Script drawn = seed == null ? script : script.seeded(seed);
        if (script.names().size() > Script.MAX_PROCESSES) {
            throw new ConfigException("members", "more than " + Script.MAX_PROCESSES + " processes");
        }
        if (Files.exists(folder)) {
            throw new ConfigException(folder.toString(), "already exists");
        }
        Files.createDirectories(folder);
        return new FaultInjectionRun(drawn, folder.toAbsolutePath(), command).run();
    }

    /** Checks a history again with these checkers; null for those of its run. */
    public static Outcome check(Path history, List<String> checkers) throws IOException {
        List<Event> events = History.read(history);
        Checkers checkerSet = new Checkers(
                checkers != null
                        ? checkers
                        : events.stream()
                                .filter(e -> e.isRigEvent() && e.what().equals("script"))
                                .findFirst()
                                .map(e -> List.of(e.text("checkers").split(",")))
                                .orElseThrow(() -> new ConfigException(
                                        history.toString(), "not the history of a run: it has no event script")));
        events.forEach(checkerSet::onEvent);
        double lateS = 0;
        boolean valid = true;
        for (Event e : events) {
            if (e.isRigEvent() && e.what().equals("late")) {
                lateS += e.number("by");
            } else if (e.isRigEvent() && e.what().equals("verdict")) {
                valid = !e.text("verdict").equals("does not count");
            }
        }
        List<String> findings = new ArrayList<>(describe(checkerSet.findings(true)));
        events.stream()
                .filter(e -> e.isRigEvent() && e.what().equals("not reached"))
                .forEach(e -> findings.add(notReached(e.text("awaited"), e.text("members"))));
        return new Outcome(valid, findings, checkerSet.metrics(), lateS);
    }

    private static List<String> describe(List<Checker.Finding> findings) {
        return findings.stream()
                .map(f -> f.checker() + ": event " + f.event() + ": " + f.what())
                .toList();
    }

    private static String notReached(String condition, String members) {
        return "condition not reached: " + condition + " for members " + members;
    }

    private Outcome run() throws IOException, InterruptedException {
        FaultSchedule steps = FaultSchedule.of(script);
        if (steps.has(FaultSchedule.AdvanceClock.class)) {
            throw new ConfigException("script", "fault clock needs simulated time: processes use the system clock");
        }
        Checkers checkerSet = new Checkers(script.checkers());
        List<String> unreachedConditions = new ArrayList<>();
        try (Claim claim = Claim.acquire();
                History history = new History(folder.resolve(HISTORY), checkerSet::onEvent);
                Relay relay = new Relay(claim.block, script.seed());
                ChildProcesses children = new ChildProcesses(
                        script, claim.block, folder, command, steps.has(FaultSchedule.SetDisk.class), history, relay)) {
            Thread hook = new Thread(() -> {
                try {
                    children.killAll();
                } catch (IOException e) {
                    // The guard kills them.
                }
            });
            Runtime.getRuntime().addShutdownHook(hook);
            history.addRigEvent(
                    "script",
                    "seed",
                    script.seed(),
                    "members",
                    String.join(",", script.names()),
                    "checkers",
                    String.join(",", script.checkers()));
            double lateS;
            try (SchedulingDelayMonitor delayMonitor = new SchedulingDelayMonitor(history)) {
                play(steps, checkerSet, history, relay, children, unreachedConditions);
                lateS = delayMonitor.totalLateS();
            }
            children.recordProcessorTimes();
            children.signal(FaultSchedule.ProcessSignal.CONT, script.names());
            children.signal(FaultSchedule.ProcessSignal.TERM, script.names());
            double until = history.now() + 10;
            while (script.names().stream().anyMatch(children::isUp) && history.now() < until) {
                Thread.sleep(POLL_INTERVAL_MS);
            }
            children.killAll();
            Runtime.getRuntime().removeShutdownHook(hook);
            List<String> findings = new ArrayList<>(describe(checkerSet.findings(true)));
            findings.addAll(unreachedConditions);
            Outcome outcome = new Outcome(lateS <= script.maxLatenessS(), findings, checkerSet.metrics(), lateS);
            history.addRigEvent("verdict", "verdict", outcome.verdict());
            return outcome;
        }
    }

    private void play(
            FaultSchedule schedule,
            Checkers checkerSet,
            History history,
            Relay relay,
            ChildProcesses children,
            List<String> unreachedConditions)
            throws IOException, InterruptedException {
        double lastTraffic = history.now();
        children.start(script.names(), false, false);
        for (FaultSchedule.Phase phase : schedule.phases()) {
            double base = history.now();
            for (FaultSchedule.TimedStep timed : phase.steps()) {
                for (double wait = base + timed.at() - history.now();
                        wait > 0;
                        wait = base + timed.at() - history.now()) {
                    Thread.sleep((long) Math.min(wait * 1e3 + 1, 200));
                    lastTraffic = recordTraffic(history, relay, lastTraffic);
                }
                step(timed.step(), history, relay, children);
            }
            Script.AwaitAction awaited = phase.awaited() != null
                    ? phase.awaited()
                    : new Script.AwaitAction("settled", new Script.Targets(script.names(), 0));
            Set<String> members = Set.copyOf(awaited.targets().names());
            double until = Math.min(history.now() + script.settleTimeoutS(), script.maxDurationS());
            while (!history.runExclusively(() -> checkerSet.holds(awaited.condition(), members))) {
                if (history.now() >= until) {
                    String names = members.stream().sorted().collect(Collectors.joining(","));
                    history.addRigEvent("not reached", "awaited", awaited.condition(), "members", names);
                    unreachedConditions.add(notReached(awaited.condition(), names));
                    return;
                }
                Thread.sleep(POLL_INTERVAL_MS);
                lastTraffic = recordTraffic(history, relay, lastTraffic);
            }
            history.addRigEvent("reached", "awaited", awaited.condition());
        }
    }

    /** Records once a second what each member has sent since the last time, as counted by the relay. */
    private static double recordTraffic(History history, Relay relay, double lastTraffic) throws IOException {
        relay.checkRunning();
        double now = history.now();
        if (now - lastTraffic < 1) {
            return lastTraffic;
        }
        relay.takeTraffic(all -> all.forEach((member, t) -> history.addRigEvent(
                "traffic",
                "member",
                member,
                "over_s",
                Math.round((now - lastTraffic) * 1e3) / 1e3,
                "datagrams",
                t.datagrams,
                "bytes",
                t.bytes,
                "lost",
                t.lost,
                "streams",
                t.streams,
                "stream_bytes",
                t.streamBytes)));
        return now;
    }

    private static void step(FaultSchedule.Step step, History history, Relay relay, ChildProcesses children)
            throws IOException, InterruptedException {
        if (step instanceof FaultSchedule.BeginFault begin) {
            LinkFaults.Fault fault = begin.fault();
            history.addRigEvent(
                    "fault on",
                    "number",
                    begin.number(),
                    "kind",
                    fault.kind().name().toLowerCase(Locale.ROOT),
                    "amount",
                    fault.amount(),
                    "spread",
                    fault.spread(),
                    "links",
                    LinkFaults.formatPairs(fault.pairs()));
            relay.beginFault(begin.number(), fault);
        } else if (step instanceof FaultSchedule.EndFault end) {
            history.addRigEvent("fault off", "number", end.number());
            relay.endFault(end.number());
        } else if (step instanceof FaultSchedule.ResetStreams reset) {
            history.addRigEvent("reset", "links", LinkFaults.formatPairs(reset.pairs()));
            relay.reset(reset.pairs());
        } else if (step instanceof FaultSchedule.SendSignal signal) {
            children.signal(signal.signal(), signal.members());
        } else if (step instanceof FaultSchedule.StartMembers start) {
            children.start(start.members(), start.emptyFolder(), start.newPorts());
        } else if (step instanceof FaultSchedule.SetDisk disk) {
            children.setDiskFault(disk.members(), disk.diskFault());
        }
    }

    /** A block of addresses that no other rig on this machine uses: the holder of its first port owns it. */
    record Claim(int block, ServerSocket socket) implements AutoCloseable {

        static Claim acquire() throws IOException {
            int first = (int) (ProcessHandle.current().pid() % BLOCKS);
            for (int i = 0; i < BLOCKS; i++) {
                int block = FIRST_BLOCK + (first + i) % BLOCKS;
                try {
                    return new Claim(
                            block, new ServerSocket(CLAIM_PORT, 1, InetAddress.getByName(Relay.host(block, 254))));
                } catch (IOException inUse) {
                    // In use by another rig: tries the next block.
                }
            }
            throw new IOException("no free block of loopback addresses; does the machine have all of 127.0.0.0/8?");
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
