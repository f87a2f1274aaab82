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
 * Runs a script: starts the fleet, does to it what the timetable says, waits where it awaits, and has the history judged. One
 * run at a time in a process; everything it started has ended when {@link #run} returns or the process ends.
 */
public final class FaultInjectionRun {

    public static final String HISTORY = "history.jsonl";
    private static final int FIRST_BLOCK = 64;
    private static final int BLOCKS = 128;
    private static final int CLAIM_PORT = 7299;
    private static final long LOOK_MS = 20;

    private final Script script;
    private final Path folder;
    private final List<String> command;

    private FaultInjectionRun(Script script, Path folder, List<String> command) {
        this.script = script;
        this.folder = folder;
        this.command = command;
    }

    /**
     * Runs the script in a file, in a folder that is made for it and must not exist, with members started by the command.
     * @param seed goes before the script's own; null for that
     */
    public static Outcome run(Path file, Long seed, Path folder, List<String> command)
            throws IOException, InterruptedException {
        Script script = ScriptReader.read(file);
        Script drawn = seed == null ? script : script.seeded(seed);
        if (script.names().size() > Script.PROCESSES_MOST) {
            throw new ConfigException("members", "more than " + Script.PROCESSES_MOST + " processes");
        }
        if (Files.exists(folder)) {
            throw new ConfigException(folder.toString(), "exists already");
        }
        Files.createDirectories(folder);
        return new FaultInjectionRun(drawn, folder.toAbsolutePath(), command).run();
    }

    /** Judges a history again, by these checkers; null for those that its run had. */
    public static Outcome check(Path history, List<String> checkers) throws IOException {
        List<Event> events = History.read(history);
        Checkers judge = new Checkers(
                checkers != null
                        ? checkers
                        : events.stream()
                                .filter(e -> e.ofRig() && e.what().equals("script"))
                                .findFirst()
                                .map(e -> List.of(e.text("checkers").split(",")))
                                .orElseThrow(() -> new ConfigException(history.toString(), "no history of a run")));
        events.forEach(judge::see);
        double late = 0;
        boolean counts = true;
        for (Event e : events) {
            if (e.ofRig() && e.what().equals("late")) {
                late += e.number("by");
            } else if (e.ofRig() && e.what().equals("verdict")) {
                counts = !e.text("verdict").equals("does not count");
            }
        }
        List<String> findings = new ArrayList<>(words(judge.findings(true)));
        events.stream()
                .filter(e -> e.ofRig() && e.what().equals("not reached"))
                .forEach(e -> findings.add(notReached(e.text("awaited"), e.text("members"))));
        return new Outcome(counts, findings, judge.metrics(), late);
    }

    private static List<String> words(List<Checker.Finding> findings) {
        return findings.stream()
                .map(f -> f.checker() + ": event " + f.event() + ": " + f.what())
                .toList();
    }

    private static String notReached(String condition, String members) {
        return "never reached: " + condition + " of " + members;
    }

    private Outcome run() throws IOException, InterruptedException {
        Timetable timetable = Timetable.of(script);
        if (timetable.any(Timetable.Clock.class)) {
            throw new ConfigException("script", "a process has the machine's clock: clock is for simulated time only");
        }
        Checkers judge = new Checkers(script.checkers());
        List<String> unmet = new ArrayList<>();
        try (Claim claim = Claim.any();
                History history = new History(folder.resolve(HISTORY), judge::see);
                Relay relay = new Relay(claim.block, script.seed());
                ChildProcesses children = new ChildProcesses(
                        script, claim.block, folder, command, timetable.any(Timetable.Disk.class), history, relay)) {
            Thread hook = new Thread(() -> {
                try {
                    children.end();
                } catch (IOException e) {
                    // The guard ends them.
                }
            });
            Runtime.getRuntime().addShutdownHook(hook);
            history.rig(
                    "script",
                    "seed",
                    script.seed(),
                    "members",
                    String.join(",", script.names()),
                    "checkers",
                    String.join(",", script.checkers()));
            double late;
            try (Heartbeat heart = new Heartbeat(history)) {
                play(timetable, judge, history, relay, children, unmet);
                late = heart.late();
            }
            children.processorTimes();
            children.signal(Timetable.Sent.CONT, script.names());
            children.signal(Timetable.Sent.TERM, script.names());
            double until = history.now() + 10;
            while (script.names().stream().anyMatch(children::up) && history.now() < until) {
                Thread.sleep(LOOK_MS);
            }
            children.end();
            Runtime.getRuntime().removeShutdownHook(hook);
            List<String> findings = new ArrayList<>(words(judge.findings(true)));
            findings.addAll(unmet);
            Outcome outcome = new Outcome(late <= script.lateMost(), findings, judge.metrics(), late);
            history.rig("verdict", "verdict", outcome.verdict());
            return outcome;
        }
    }

    private void play(
            Timetable timetable,
            Checkers judge,
            History history,
            Relay relay,
            ChildProcesses children,
            List<String> unmet)
            throws IOException, InterruptedException {
        double traffic = history.now();
        children.start(script.names(), false, false);
        for (Timetable.Phase phase : timetable.phases()) {
            double base = history.now();
            for (Timetable.Timed timed : phase.steps()) {
                for (double wait = base + timed.at() - history.now();
                        wait > 0;
                        wait = base + timed.at() - history.now()) {
                    Thread.sleep((long) Math.min(wait * 1e3 + 1, 200));
                    traffic = traffic(history, relay, traffic);
                }
                step(timed.step(), history, relay, children);
            }
            Script.Await then = phase.then() != null
                    ? phase.then()
                    : new Script.Await("settled", new Script.Targets(script.names(), 0));
            Set<String> whom = Set.copyOf(then.whom().names());
            double until = Math.min(history.now() + script.settleS(), script.mostS());
            while (!history.still(() -> judge.holds(then.condition(), whom))) {
                if (history.now() >= until) {
                    String members = whom.stream().sorted().collect(Collectors.joining(","));
                    history.rig("not reached", "awaited", then.condition(), "members", members);
                    unmet.add(notReached(then.condition(), members));
                    return;
                }
                Thread.sleep(LOOK_MS);
                traffic = traffic(history, relay, traffic);
            }
            history.rig("reached", "awaited", then.condition());
        }
    }

    /** Once a second, what each member has sent since, as counted outside of it. */
    private static double traffic(History history, Relay relay, double last) throws IOException {
        relay.check();
        double now = history.now();
        if (now - last < 1) {
            return last;
        }
        relay.taken(all -> all.forEach((member, t) -> history.rig(
                "traffic",
                "member",
                member,
                "over_s",
                Math.round((now - last) * 1e3) / 1e3,
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

    private static void step(Timetable.Step step, History history, Relay relay, ChildProcesses children)
            throws IOException, InterruptedException {
        if (step instanceof Timetable.On on) {
            LinkFaults.Fault f = on.fault();
            history.rig(
                    "fault on",
                    "number",
                    on.number(),
                    "kind",
                    f.kind().name().toLowerCase(Locale.ROOT),
                    "amount",
                    f.amount(),
                    "spread",
                    f.spread(),
                    "links",
                    LinkFaults.text(f.pairs()));
            relay.on(on.number(), f);
        } else if (step instanceof Timetable.Off off) {
            history.rig("fault off", "number", off.number());
            relay.off(off.number());
        } else if (step instanceof Timetable.Cut cut) {
            history.rig("reset", "links", LinkFaults.text(cut.pairs()));
            relay.reset(cut.pairs());
        } else if (step instanceof Timetable.Signal signal) {
            children.signal(signal.what(), signal.members());
        } else if (step instanceof Timetable.Start start) {
            children.start(start.members(), start.emptyFolder(), start.newPorts());
        } else if (step instanceof Timetable.Disk disk) {
            children.disk(disk.members(), disk.is());
        }
    }

    /** A block of addresses that no other rig on this machine uses: one who holds its first port has it. */
    record Claim(int block, ServerSocket held) implements AutoCloseable {

        static Claim any() throws IOException {
            int first = (int) (ProcessHandle.current().pid() % BLOCKS);
            for (int i = 0; i < BLOCKS; i++) {
                int block = FIRST_BLOCK + (first + i) % BLOCKS;
                try {
                    return new Claim(
                            block, new ServerSocket(CLAIM_PORT, 1, InetAddress.getByName(Relay.host(block, 254))));
                } catch (IOException taken) {
                    // The next.
                }
            }
            throw new IOException("no free block of loopback addresses; does the machine have all of 127.0.0.0/8?");
        }

        @Override
        public void close() throws IOException {
            held.close();
        }
    }
}
