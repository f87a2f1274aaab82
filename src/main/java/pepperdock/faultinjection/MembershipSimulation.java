package pepperdock.faultinjection;

import com.google.gson.JsonObject;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import pepperdock.events.Events;
import pepperdock.faultinjection.LinkFaults.Pair;
import pepperdock.membership.MemberRecord;
import pepperdock.membership.Membership;
import pepperdock.membership.MembershipOutput;
import pepperdock.membership.MembershipSettings;
import pepperdock.membership.Message;
import pepperdock.membership.RecordStatus;
import pepperdock.membership.transport.MembershipEvents;

/**
 * Runs a script in simulated time: the real membership state machines, the link faults of the rig and one event queue.
 * It produces the same kind of history as a run with real processes, for the same checkers, and the same history for
 * the same seed. A datagram takes 0.5 ms to 1.5 ms, and so does each message of a stream; processing takes no time.
 */
final class MembershipSimulation {

    private static final String FLEET = "simulated-fleet";
    private static final double MIN_LATENCY_S = 0.0005;
    private static final double LATENCY_SPREAD_S = 0.001;
    private static final double POLL_INTERVAL_S = 0.1;
    /** Number of tasks held for a stopped process, like a socket buffer; further ones are dropped, as in a kernel. */
    private static final int MAX_HELD_TASKS = 500;

    private record ScheduledTask(double at, long sequence, Runnable task) {}

    /** A simulated process. */
    private final class Node {
        private final String name;
        private final String address;
        private Membership membership;
        private boolean up;
        private boolean stopped;
        private long runNumber;
        private long[] lastCounts = new long[4];
        private double lastCountsAt;
        /** Offset of its clock, which starts at an arbitrary time and runs as fast as the simulation within 0.1 %. */
        private double clockOffsetS = 1e6 * random.nextDouble();

        private final double clockRate = 1 + 0.002 * (random.nextDouble() - 0.5);
        private final Deque<Runnable> heldTasks = new ArrayDeque<>();
        private final Events events;

        Node(String name) {
            this.name = name;
            int number = Relay.number(name);
            address = "10.0." + (number >> 8) + '.' + (number & 255) + ":7400";
            events = Events.to(e -> publishEvent(name, e));
        }

        double clock() {
            return clockOffsetS + now * clockRate;
        }

        /**
         * Runs the task on this process now, or when the process continues; drops it if the process has ended
         * meanwhile.
         */
        void execute(Runnable task) {
            long runAtCall = runNumber;
            if (membership == null) {
                return;
            }
            if (up && stopped) {
                if (heldTasks.size() < MAX_HELD_TASKS) {
                    heldTasks.add(() -> {
                        if (runAtCall == runNumber && up) {
                            task.run();
                        }
                    });
                }
            } else if (up && runAtCall == runNumber) {
                task.run();
                performOutputs();
            }
        }

        private void performOutputs() {
            List<MembershipOutput> outputs = membership.takeOutputs();
            for (MembershipOutput output : outputs) {
                if (output instanceof MembershipOutput.SendDatagram datagram) {
                    sendDatagram(this, datagram);
                } else if (output instanceof MembershipOutput.OpenExchange exchange) {
                    Node to = nodeByAddress(exchange.address());
                    if (to != null) {
                        sendOnStream(this, to, membership.openExchange());
                    }
                } else {
                    MembershipEvents.publish(events, output);
                }
            }
            MembershipEvents.outputsPublished(events, outputs);
        }
    }

    private final Script script;
    private final MembershipSettings settings;
    private final Consumer<Event> listener;
    private final Random random;
    private final LinkFaults links = new LinkFaults();
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledTask::at).thenComparingLong(ScheduledTask::sequence));
    private final Map<String, Node> addresses = new HashMap<>();
    private long scheduledTasks;
    private double now;

    MembershipSimulation(Script script, MembershipSettings settings, Consumer<Event> listener) {
        this.script = script;
        this.settings = settings;
        this.listener = listener;
        random = new Random(script.seed() * 31 + 7);
        script.names().forEach(name -> {
            Node node = new Node(name);
            nodes.put(name, node);
            addresses.put(node.address, node);
        });
    }

    private Node nodeByAddress(String address) {
        return addresses.get(address);
    }

    private void schedule(double when, Runnable task) {
        queue.add(new ScheduledTask(when, scheduledTasks++, task));
    }

    private void publishEvent(String who, JsonObject event) {
        JsonObject withHeader = new JsonObject();
        withHeader.addProperty("at", now);
        withHeader.addProperty("who", who);
        event.entrySet().forEach(e -> withHeader.add(e.getKey(), e.getValue()));
        listener.accept(new Event(now, who, event.get("what").getAsString(), withHeader));
    }

    private void publishRigEvent(String what, Object... keysAndValues) {
        publishEvent(Event.RIG, Events.event(what, keysAndValues));
    }

    private void sendDatagram(Node from, MembershipOutput.SendDatagram datagram) {
        Node to = nodeByAddress(datagram.address());
        if (to == null || to == from) {
            return;
        }
        for (double delay : links.effectOn(new Pair(from.name, to.name)).arrivalDelays(random)) {
            schedule(
                    now + MIN_LATENCY_S + LATENCY_SPREAD_S * random.nextDouble() + delay,
                    () -> to.execute(() -> to.membership.onDatagram(datagram.message(), to.clock())));
        }
    }

    /**
     * Sends one message of a stream; the reply takes the same way back. The message is dropped if the stream is
     * blocked.
     */
    private void sendOnStream(Node from, Node to, Message message) {
        Pair pair = new Pair(from.name, to.name);
        if (links.effectOn(pair).streamBlocked()
                || links.effectOn(new Pair(to.name, from.name)).streamBlocked()) {
            return;
        }
        schedule(
                now
                        + MIN_LATENCY_S
                        + LATENCY_SPREAD_S * random.nextDouble()
                        + links.effectOn(pair).delay(),
                () -> to.execute(() -> {
                    Message reply = to.membership.onStreamMessage(message, to.clock());
                    if (reply != null) {
                        sendOnStream(to, from, reply);
                    }
                }));
    }

    private void start(List<String> names, String folder) {
        List<String> down = names.stream().filter(name -> !nodes.get(name).up).toList();
        if (down.isEmpty()) {
            return;
        }
        publishRigEvent("start", "members", String.join(",", down), "folder", folder);
        for (String name : down) {
            Node node = nodes.get(name);
            node.up = true;
            node.stopped = false;
            node.heldTasks.clear();
            node.runNumber++;
            node.membership = null;
            int number = Relay.number(name);
            MemberRecord memberRecord = new MemberRecord(
                    script.named(name),
                    random.nextLong(),
                    0,
                    RecordStatus.ALIVE,
                    node.address,
                    script.zones().get((number - 1) % script.zones().size()),
                    "m" + ((number - 1) % script.machines() + 1));
            List<String> seeds = script
                    .names()
                    .subList(0, Math.min(3, script.names().size()))
                    .stream()
                    .map(s -> nodes.get(s).address)
                    .toList();
            // Starting a process takes a different time at each start.
            double startsAt = now + 0.3 + 0.2 * random.nextDouble();
            long runNumber = node.runNumber;
            schedule(startsAt, () -> {
                if (node.runNumber == runNumber && node.up) {
                    node.membership =
                            new Membership(settings, FLEET, memberRecord, seeds, random.nextLong(), node.clock());
                    node.lastCounts = new long[4];
                    node.lastCountsAt = now;
                    MembershipEvents.processStarted(node.events, memberRecord, settings);
                    node.events.write("ready");
                    node.execute(() -> {});
                    scheduleTick(node, runNumber);
                }
            });
        }
    }

    private void scheduleTick(Node node, long runNumber) {
        schedule(now + settings.tickS() / node.clockRate, () -> {
            if (node.runNumber != runNumber || !node.up) {
                return;
            }
            if (node.stopped) {
                // The timer fires once when the process continues.
                node.heldTasks.add(() -> node.membership.tick(node.clock()));
                node.heldTasks.add(() -> scheduleTick(node, runNumber));
                return;
            }
            node.execute(() -> node.membership.tick(node.clock()));
            if (now - node.lastCountsAt >= 1) {
                long[] counts = node.membership.counts();
                publishRigEvent(
                        "traffic",
                        "member",
                        node.name,
                        "over_s",
                        now - node.lastCountsAt,
                        "datagrams",
                        counts[0] - node.lastCounts[0],
                        "bytes",
                        counts[1] - node.lastCounts[1]);
                node.lastCounts = counts;
                node.lastCountsAt = now;
            }
            scheduleTick(node, runNumber);
        });
    }

    private void signal(FaultSchedule.ProcessSignal signal, List<String> names) {
        List<String> up = names.stream().filter(m -> nodes.get(m).up).toList();
        if (up.isEmpty()) {
            return;
        }
        publishRigEvent(signal.name().toLowerCase(Locale.ROOT), "members", String.join(",", up));
        for (String name : up) {
            Node node = nodes.get(name);
            switch (signal) {
                case STOP -> node.stopped = true;
                case CONT -> {
                    node.stopped = false;
                    node.lastCountsAt = now;
                    if (node.membership != null) {
                        node.lastCounts = node.membership.counts();
                    }
                    List<Runnable> all = List.copyOf(node.heldTasks);
                    node.heldTasks.clear();
                    all.forEach(node::execute);
                }
                case KILL, TERM -> {
                    if (signal == FaultSchedule.ProcessSignal.TERM && !node.stopped && node.membership != null) {
                        node.execute(() -> node.membership.leave(node.clock()));
                    }
                    node.up = false;
                    publishRigEvent("exit", "member", name, "status", 0);
                }
            }
        }
    }

    private void step(FaultSchedule.Step step) {
        if (step instanceof FaultSchedule.BeginFault begin) {
            publishRigEvent(
                    "fault on",
                    "number",
                    begin.number(),
                    "kind",
                    begin.fault().kind().name().toLowerCase(Locale.ROOT),
                    "amount",
                    begin.fault().amount(),
                    "links",
                    LinkFaults.formatPairs(begin.fault().pairs()));
            links.begin(begin.number(), begin.fault());
        } else if (step instanceof FaultSchedule.EndFault end) {
            publishRigEvent("fault off", "number", end.number());
            links.end(end.number());
        } else if (step instanceof FaultSchedule.SendSignal signal) {
            signal(signal.signal(), signal.members());
        } else if (step instanceof FaultSchedule.StartMembers start) {
            start(start.members(), start.emptyFolder() ? "empty" : "kept");
        } else if (step instanceof FaultSchedule.AdvanceClock clock) {
            publishRigEvent("clock", "members", String.join(",", clock.members()), "by_s", clock.byS());
            clock.members().forEach(m -> nodes.get(m).clockOffsetS += clock.byS());
        }
    }

    /**
     * Runs the whole script; returns a description of the condition that was not reached, or null if all were reached.
     */
    String play(Checkers checkers) {
        publishRigEvent(
                "script",
                "seed",
                script.seed(),
                "members",
                String.join(",", script.names()),
                "checkers",
                String.join(",", script.checkers()));
        start(script.names(), "kept");
        for (FaultSchedule.Phase phase : FaultSchedule.of(script).phases()) {
            double base = now;
            for (FaultSchedule.TimedStep timed : phase.steps()) {
                run(base + timed.at());
                step(timed.step());
            }
            Script.AwaitAction awaited = phase.awaited() != null
                    ? phase.awaited()
                    : new Script.AwaitAction("settled", new Script.Targets(script.names(), 0));
            Set<String> members = Set.copyOf(awaited.targets().names());
            double until = Math.min(now + script.settleTimeoutS(), script.maxDurationS());
            while (!checkers.holds(awaited.condition(), members)) {
                if (now >= until) {
                    String names = members.stream().sorted().collect(Collectors.joining(","));
                    publishRigEvent("not reached", "awaited", awaited.condition(), "members", names);
                    return "condition not reached: " + awaited.condition() + " for members " + names;
                }
                run(now + POLL_INTERVAL_S);
            }
            publishRigEvent("reached", "awaited", awaited.condition());
        }
        return null;
    }

    private void run(double until) {
        while (!queue.isEmpty() && queue.peek().at() <= until) {
            ScheduledTask next = queue.poll();
            now = next.at();
            next.task().run();
        }
        now = until;
    }
}
