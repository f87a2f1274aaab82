package pepperdock.membership.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pepperdock.cli.Cli;
import pepperdock.config.Config;
import pepperdock.config.ConfigReader;
import pepperdock.events.Events;
import pepperdock.membership.MembershipView;
import pepperdock.transport.EventLoop;

/** Runs members on real sockets in this process and queries them with the operators' command. */
@Timeout(120)
class MembershipServiceTest {

    /** An address prefix that depends on the process id, so that the ports are free in each run of the tests. */
    private static final String HOSTS = "127.200." + ProcessHandle.current().pid() % 250 + '.';

    private final List<EventLoop> loops = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() {
        loops.forEach(EventLoop::close);
    }

    private MembershipService open(int number, List<MembershipView.Change> changes) throws Exception {
        EventLoop loop = new EventLoop(100, 1 << 20);
        loops.add(loop);
        ConfigReader file = ConfigReader.of(
                "",
                Config.parse(
                        "{\"name\":\"n" + number + "\",\"members\":{\"fleet\":\"f\",\"probe_s\":0.05,"
                                + "\"datagrams_per_s\":1000,\"bytes_per_s\":1000000,\"address\":\"" + HOSTS + number
                                + ":7400\",\"seeds\":[\""
                                + HOSTS + "1:7400\"],\"ask\":\"" + HOSTS + number + ":7500\"}}",
                        ""));
        MembershipService service = MembershipService.open(file, loop, Events.of(false));
        loop.execute(() -> service.watch(changes::add));
        return service;
    }

    private static void await(List<MembershipView.Change> changes, String expected) throws InterruptedException {
        while (changes.stream().noneMatch(change -> (change.name() + ' ' + change.to()).equals(expected))) {
            Thread.sleep(10);
        }
    }

    private static String runCommand(String... args) {
        StringWriter out = new StringWriter();
        assertEquals(0, Cli.run(args, new PrintWriter(out, true), new PrintWriter(out, true)), out::toString);
        return out.toString();
    }

    /**
     * Two members discover each other through a seed, another process sends an invalid datagram, and one member leaves.
     * The other reports each change once and in order, counts the invalid datagram, and shows all this to operators.
     */
    @Test
    void membersDiscoverEachOtherAnswerOperatorsAndLeave() throws Exception {
        List<MembershipView.Change> changes = new CopyOnWriteArrayList<>();
        open(1, changes);
        MembershipService two = open(2, new CopyOnWriteArrayList<>());
        await(changes, "n2 ALIVE");
        String output = runCommand("members", HOSTS + "1:7500");
        assertTrue(output.startsWith("fleet f as n1 sees it"), output);
        assertTrue(output.contains("reaching 2 of 2"), output);
        try (DatagramSocket foreignSocket = new DatagramSocket()) {
            foreignSocket.send(new DatagramPacket(new byte[3000], 3000, new InetSocketAddress(HOSTS + "1", 7400)));
        }
        while (!runCommand("members", "--json", HOSTS + "1:7500").contains("\"not_to_be_read\": 1")) {
            Thread.sleep(10);
        }
        CompletableFuture<Void> left = new CompletableFuture<>();
        loops.get(1).execute(() -> {
            two.leave();
            left.complete(null);
        });
        left.get(30, TimeUnit.SECONDS);
        await(changes, "n2 LEFT");
        for (int i = 0; i < changes.size(); i++) {
            assertEquals(changes.get(0).number() + i, changes.get(i).number());
        }
        StringWriter err = new StringWriter();
        assertEquals(
                1, Cli.run(new String[] {"members", HOSTS + "9:1"}, new PrintWriter(err), new PrintWriter(err, true)));
        assertTrue(err.toString().contains("members.ask"), err.toString());
    }
}
