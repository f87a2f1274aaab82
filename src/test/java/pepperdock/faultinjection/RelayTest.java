package pepperdock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import pepperdock.faultinjection.LinkFaults.Fault;
import pepperdock.faultinjection.LinkFaults.Kind;
import pepperdock.faultinjection.LinkFaults.Pair;

/** Tests real sockets through the relay. */
class RelayTest {

    private static final int DATAGRAMS = 7300;
    private static final int STREAMS = 7301;
    private static final Set<Pair> FORWARD = Set.of(new Pair("g1", "g2"));

    private FaultInjectionRun.Claim claim;
    private Relay relay;
    private DatagramSocket firstMember;
    private DatagramSocket secondMember;
    private ServerSocket server;

    @BeforeEach
    void open() throws IOException {
        claim = FaultInjectionRun.Claim.acquire();
        relay = new Relay(claim.block(), 1);
        firstMember = new DatagramSocket(new InetSocketAddress(Relay.host(claim.block(), 1), DATAGRAMS));
        secondMember = new DatagramSocket(new InetSocketAddress(Relay.host(claim.block(), 2), DATAGRAMS));
        server = new ServerSocket(STREAMS, 5, InetAddress.getByName(Relay.host(claim.block(), 2)));
        for (String to : List.of("g1", "g2")) {
            relay.openLinks(
                    to,
                    List.of("g1", "g2"),
                    List.of(new Relay.RelayPort(DATAGRAMS, false), new Relay.RelayPort(STREAMS, true)));
        }
        firstMember.setSoTimeout(30_000);
        secondMember.setSoTimeout(30_000);
    }

    @AfterEach
    void close() throws IOException {
        relay.close();
        firstMember.close();
        secondMember.close();
        server.close();
        claim.close();
    }

    private void send(DatagramSocket from, int a, int b, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        from.send(new DatagramPacket(
                bytes, bytes.length, new InetSocketAddress(Relay.host(claim.block(), a, b), DATAGRAMS)));
    }

    private static String received(DatagramSocket at) throws IOException {
        DatagramPacket p = new DatagramPacket(new byte[100], 100);
        at.receive(p);
        return new String(p.getData(), 0, p.getLength(), StandardCharsets.US_ASCII);
    }

    /** Waits until the relay has executed all earlier tasks, so that faults set before are active. */
    private void awaitRelay() throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        relay.execute(() -> done.complete(null));
        done.get(30, TimeUnit.SECONDS);
    }

    /**
     * Waits until the relay has read this number of datagrams from the first member; returns how many of them it
     * dropped.
     */
    private long read(int count) throws Exception {
        long lost = 0;
        for (long read = 0; read < count; ) {
            CompletableFuture<Relay.Traffic> some = new CompletableFuture<>();
            relay.takeTraffic(all -> some.complete(all.getOrDefault("g1", new Relay.Traffic())));
            read += some.get(30, TimeUnit.SECONDS).datagrams;
            lost += some.get().lost;
        }
        return lost;
    }

    @Test
    void oneWayCutDropsOnlyThatDirection() throws Exception {
        relay.beginFault(1, new Fault(Kind.CUT, FORWARD, 0, 0));
        awaitRelay();
        send(firstMember, 1, 2, "lost");
        send(secondMember, 2, 1, "back");
        assertEquals("back", received(firstMember));
        assertEquals(1, read(1));
        relay.endFault(1);
        awaitRelay();
        send(firstMember, 1, 2, "there");
        assertEquals("there", received(secondMember));
    }

    @Test
    void delayedDatagramArrivesLateAndDuplicatedOneTwice() throws Exception {
        relay.beginFault(1, new Fault(Kind.DELAY, FORWARD, 0.5, 0));
        awaitRelay();
        send(firstMember, 1, 2, "slow");
        assertEquals(0, read(1));
        relay.endFault(1);
        relay.beginFault(2, new Fault(Kind.DUPLICATE, FORWARD, 1, 0));
        awaitRelay();
        send(firstMember, 1, 2, "quick");
        List<String> got =
                new ArrayList<>(List.of(received(secondMember), received(secondMember), received(secondMember)));
        assertTrue(got.remove("slow"));
        assertEquals(List.of("quick", "quick"), got);
    }

    @Test
    void streamWaitsWhileCutThenDeliversAllBytesAndCanBeReset() throws Exception {
        try (Socket near = new Socket(Relay.host(claim.block(), 1, 2), STREAMS);
                Socket far = server.accept()) {
            near.getOutputStream().write(1);
            assertEquals(1, far.getInputStream().read());
            relay.beginFault(1, new Fault(Kind.CUT, FORWARD, 0, 0));
            relay.beginFault(2, new Fault(Kind.THROTTLE, Set.of(new Pair("g2", "g1")), 1 << 20, 0));
            awaitRelay();
            far.getOutputStream().write(new byte[300_000]);
            assertEquals(300_000, near.getInputStream().readNBytes(300_000).length);
            near.getOutputStream().write(new byte[100_000]);
            near.shutdownOutput();
            far.setSoTimeout(200);
            assertThrows(
                    SocketTimeoutException.class, () -> far.getInputStream().read());
            far.setSoTimeout(30_000);
            relay.endFault(1);
            assertEquals(100_000, far.getInputStream().readAllBytes().length);
        }
        try (Socket near = new Socket(Relay.host(claim.block(), 1, 2), STREAMS);
                Socket far = server.accept()) {
            near.setSoTimeout(30_000);
            relay.reset(FORWARD);
            assertThrows(IOException.class, () -> {
                near.getInputStream().read();
                throw new AssertionError("the stream ended without a reset");
            });
            assertTrue(far.isConnected());
        }
    }
}
