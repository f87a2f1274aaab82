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
 * A script played in simulated time: the real machines of membership, the rig's own links between them, one queue of events.
 * Gives the same history as the rig for the same checkers, the same each time. Datagrams take half a millisecond to one and a
 * half, streams as long for each message; processes take no time at all.
 */
final class MembershipSimulation {

    private static final String FLEET = "simulated-fleet";
    private static final double LEAST_S = 0.0005;
    private static final double SPREAD_S = 0.001;
    private static final double LOOK_S = 0.1;
    /** What a stopped process's socket holds; more is lost, as in a kernel. */
    private static final int HELD_MOST = 500;

    private record Due(double at, long no, Runnable task) {}

    /** A process. */
    private final class Node {
        private final String name;
        private final String address;
        private Membership machine;
        private boolean up;
        private boolean stopped;
        private long life;
        private long[] counted = new long[4];
        private double countedAt;
        /** Its clock: as fast as ours within a thousandth, and begun whenever. */
        private double clockAhead = 1e6 * chance.nextDouble();

        private final double clockRate = 1 + 0.002 * (chance.nextDouble() - 0.5);
        private final Deque<Runnable> held = new ArrayDeque<>();
        private final Events events;

        Node(String name) {
            this.name = name;
            int number = Relay.number(name);
            address = "10.0." + (number >> 8) + '.' + (number & 255) + ":7400";
            events = Events.to(e -> tell(name, e));
        }

        double clock() {
            return clockAhead + now * clockRate;
        }

        /** Runs on this process now, or when it goes on, or never where it has ended meanwhile. */
        void on(Runnable task) {
            long then = life;
            if (machine == null) {
                return;
            }
            if (up && stopped) {
                if (held.size() < HELD_MOST) {
                    held.add(() -> {
                        if (then == life && up) {
                            task.run();
                        }
                    });
                }
            } else if (up && then == life) {
                task.run();
                carryOut();
            }
        }

        private void carryOut() {
            List<MembershipOutput> outputs = machine.takeOutputs();
            for (MembershipOutput output : outputs) {
                if (output instanceof MembershipOutput.SendDatagram datagram) {
                    datagram(this, datagram);
                } else if (output instanceof MembershipOutput.OpenExchange exchange) {
                    Node to = byAddress(exchange.address());
                    if (to != null) {
                        stream(this, to, machine.openExchange());
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
    private final Random chance;
    private final LinkFaults links = new LinkFaults();
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::no));
    private final Map<String, Node> addresses = new HashMap<>();
    private long count;
    private double now;

    MembershipSimulation(Script script, MembershipSettings settings, Consumer<Event> listener) {
        this.script = script;
        this.settings = settings;
        this.listener = listener;
        chance = new Random(script.seed() * 31 + 7);
        script.names().forEach(n -> {
            Node node = new Node(n);
            nodes.put(n, node);
            addresses.put(node.address, node);
        });
    }

    private Node byAddress(String address) {
        return addresses.get(address);
    }

    private void at(double when, Runnable task) {
        queue.add(new Due(when, count++, task));
    }

    private void tell(String who, JsonObject event) {
        JsonObject whole = new JsonObject();
        whole.addProperty("at", now);
        whole.addProperty("who", who);
        event.entrySet().forEach(e -> whole.add(e.getKey(), e.getValue()));
        listener.accept(new Event(now, who, event.get("what").getAsString(), whole));
    }

    private void rig(String what, Object... keysAndValues) {
        tell(Event.RIG, Events.event(what, keysAndValues));
    }

    private void datagram(Node from, MembershipOutput.SendDatagram datagram) {
        Node to = byAddress(datagram.address());
        if (to == null || to == from) {
            return;
        }
        for (double in : links.on(new Pair(from.name, to.name)).fate(chance)) {
            at(
                    now + LEAST_S + SPREAD_S * chance.nextDouble() + in,
                    () -> to.on(() -> to.machine.onDatagram(datagram.message(), to.clock())));
        }
    }

    /** One message of a stream; the answer goes back the same way. A stream that stands is given up. */
    private void stream(Node from, Node to, Message m) {
        Pair way = new Pair(from.name, to.name);
        if (links.on(way).streamStands()
                || links.on(new Pair(to.name, from.name)).streamStands()) {
            return;
        }
        at(
                now + LEAST_S + SPREAD_S * chance.nextDouble() + links.on(way).delay(),
                () -> to.on(() -> {
                    Message back = to.machine.onStreamMessage(m, to.clock());
                    if (back != null) {
                        stream(to, from, back);
                    }
                }));
    }

    private void start(List<String> names, String folder) {
        List<String> down = names.stream().filter(n -> !nodes.get(n).up).toList();
        if (down.isEmpty()) {
            return;
        }
        rig("start", "members", String.join(",", down), "folder", folder);
        for (String name : down) {
            Node n = nodes.get(name);
            n.up = true;
            n.stopped = false;
            n.held.clear();
            n.life++;
            n.machine = null;
            int number = Relay.number(name);
            MemberRecord memberRecord = new MemberRecord(
                    script.named(name),
                    chance.nextLong(),
                    0,
                    RecordStatus.ALIVE,
                    n.address,
                    script.zones().get((number - 1) % script.zones().size()),
                    "m" + ((number - 1) % script.machines() + 1));
            List<String> seeds = script
                    .names()
                    .subList(0, Math.min(3, script.names().size()))
                    .stream()
                    .map(s -> nodes.get(s).address)
                    .toList();
            // A start takes a while, and never the same.
            double begins = now + 0.3 + 0.2 * chance.nextDouble();
            long life = n.life;
            at(begins, () -> {
                if (n.life == life && n.up) {
                    n.machine = new Membership(settings, FLEET, memberRecord, seeds, chance.nextLong(), n.clock());
                    n.counted = new long[4];
                    n.countedAt = now;
                    MembershipEvents.processStarted(n.events, memberRecord, settings);
                    n.events.write("ready");
                    n.on(() -> {});
                    ticks(n, life);
                }
            });
        }
    }

    private void ticks(Node n, long life) {
        at(now + settings.tickS() / n.clockRate, () -> {
            if (n.life != life || !n.up) {
                return;
            }
            if (n.stopped) {
                // The timer falls due once, when the process goes on.
                n.held.add(() -> n.machine.tick(n.clock()));
                n.held.add(() -> ticks(n, life));
                return;
            }
            n.on(() -> n.machine.tick(n.clock()));
            if (now - n.countedAt >= 1) {
                long[] c = n.machine.counts();
                rig(
                        "traffic",
                        "member",
                        n.name,
                        "over_s",
                        now - n.countedAt,
                        "datagrams",
                        c[0] - n.counted[0],
                        "bytes",
                        c[1] - n.counted[1]);
                n.counted = c;
                n.countedAt = now;
            }
            ticks(n, life);
        });
    }

    private void signal(Timetable.Sent what, List<String> names) {
        List<String> up = names.stream().filter(m -> nodes.get(m).up).toList();
        if (up.isEmpty()) {
            return;
        }
        rig(what.name().toLowerCase(Locale.ROOT), "members", String.join(",", up));
        for (String name : up) {
            Node n = nodes.get(name);
            switch (what) {
                case STOP -> n.stopped = true;
                case CONT -> {
                    n.stopped = false;
                    n.countedAt = now;
                    if (n.machine != null) {
                        n.counted = n.machine.counts();
                    }
                    List<Runnable> all = List.copyOf(n.held);
                    n.held.clear();
                    all.forEach(n::on);
                }
                case KILL, TERM -> {
                    if (what == Timetable.Sent.TERM && !n.stopped && n.machine != null) {
                        n.on(() -> n.machine.leave(n.clock()));
                    }
                    n.up = false;
                    rig("exit", "member", name, "status", 0);
                }
            }
        }
    }

    private void step(Timetable.Step step) {
        if (step instanceof Timetable.On on) {
            rig(
                    "fault on",
                    "number",
                    on.number(),
                    "kind",
                    on.fault().kind().name().toLowerCase(Locale.ROOT),
                    "amount",
                    on.fault().amount(),
                    "links",
                    LinkFaults.text(on.fault().pairs()));
            links.on(on.number(), on.fault());
        } else if (step instanceof Timetable.Off off) {
            rig("fault off", "number", off.number());
            links.off(off.number());
        } else if (step instanceof Timetable.Signal s) {
            signal(s.what(), s.members());
        } else if (step instanceof Timetable.Start s) {
            start(s.members(), s.emptyFolder() ? "empty" : "kept");
        } else if (step instanceof Timetable.Clock c) {
            rig("clock", "members", String.join(",", c.members()), "by_s", c.byS());
            c.members().forEach(m -> nodes.get(m).clockAhead += c.byS());
        }
    }

    /** Plays all; returns what was never reached, in words, or null. */
    String play(Checkers judge) {
        rig(
                "script",
                "seed",
                script.seed(),
                "members",
                String.join(",", script.names()),
                "checkers",
                String.join(",", script.checkers()));
        start(script.names(), "kept");
        for (Timetable.Phase phase : Timetable.of(script).phases()) {
            double base = now;
            for (Timetable.Timed t : phase.steps()) {
                run(base + t.at());
                step(t.step());
            }
            Script.Await then = phase.then() != null
                    ? phase.then()
                    : new Script.Await("settled", new Script.Targets(script.names(), 0));
            Set<String> whom = Set.copyOf(then.whom().names());
            double until = Math.min(now + script.settleS(), script.mostS());
            while (!judge.holds(then.condition(), whom)) {
                if (now >= until) {
                    String members = whom.stream().sorted().collect(Collectors.joining(","));
                    rig("not reached", "awaited", then.condition(), "members", members);
                    return "never reached: " + then.condition() + " of " + members;
                }
                run(now + LOOK_S);
            }
            rig("reached", "awaited", then.condition());
        }
        return null;
    }

    private void run(double until) {
        while (!queue.isEmpty() && queue.peek().at() <= until) {
            Due d = queue.poll();
            now = d.at();
            d.task().run();
        }
        now = until;
    }
}
