package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.EndpointListJson;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.EndpointListSnapshot;
import pepperdock.core.Gatherer;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.transport.EventLoop;

/** The watch of a process that replaces another, and lists that another process has received. */
@Timeout(60)
class AdoptedEndpointListTest {

    private final DeploymentSettings settings = TestDeploymentSettings.small();
    private final EventLoop loop = new EventLoop(100, 1 << 16);
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<Collection<WorkerEndpoint>> lists = new LinkedBlockingQueue<>();
    private final EndpointWatch watch =
            new EndpointWatch(loop, (InetSocketAddress) server.getLocalSocketAddress(), settings, 41);
    private final Gatherer core = new Gatherer(settings.scheduler(), 3, loop, new FrameBackend(loop, settings), watch);

    AdoptedEndpointListTest() throws IOException {
        server.setSoTimeout(30_000);
        watch.start(core);
        loop.execute(() -> {
            core.addEndpointListListener(lists::add);
            core.onEndpointList(EndpointListKind.CACHED, List.of());
        });
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        loop.close();
    }

    /** Returns the ids of the workers in the next list that the gatherer receives. */
    private Set<String> awaitList() throws InterruptedException {
        Collection<WorkerEndpoint> list = lists.poll(30, TimeUnit.SECONDS);
        assertTrue(list != null, "no list arrived in time");
        return list.stream().map(WorkerEndpoint::id).collect(Collectors.toSet());
    }

    private EndpointListSnapshot receivedByOther(long version, String... workers) {
        return new EndpointListSnapshot(
                "127.0.0.1:" + server.getLocalPort(),
                version,
                EndpointListJson.parse(DiscoveryConnection.list(version, true, workers), settings)
                        .hosts());
    }

    private void adopt(EndpointListSnapshot list) {
        loop.execute(() -> watch.adopt(list, true));
    }

    private int listedWorkers() throws Exception {
        CompletableFuture<Integer> listed = new CompletableFuture<>();
        loop.execute(() -> listed.complete(core.listedEndpointCount()));
        return listed.get(30, TimeUnit.SECONDS);
    }

    /** Another process was told more than this one, whose answer is older: the older answer must not undo that. */
    @Test
    void anAnswerOlderThanAnAdoptedListIsNotApplied() throws Exception {
        try (DiscoveryConnection discovery = DiscoveryConnection.accept(server)) {
            assertEquals("/api/targets?since=41", discovery.readTarget());
            adopt(receivedByOther(44, "a", "b"));
            adopt(receivedByOther(43, "a"));
            assertEquals(2, listedWorkers());
            discovery.answerComplete(42, "c");
            assertEquals("/api/targets?since=44", discovery.readTarget());
            assertEquals(2, listedWorkers());
            assertTrue(lists.isEmpty());
            discovery.answerChanges(45, "d");
            assertEquals(Set.of("a", "b", "d"), awaitList());
        }
    }

    /** Discovery counts its versions from the start again: the answer to a poll for the newest version is used. */
    @Test
    void aLowerVersionIsAppliedIfItAnswersAPollForTheAdoptedOne() throws Exception {
        adopt(receivedByOther(44, "a"));
        assertEquals(1, listedWorkers());
        server.accept().close();
        try (DiscoveryConnection discovery = DiscoveryConnection.accept(server)) {
            assertEquals("/api/targets?since=44", discovery.readTarget());
            discovery.answerComplete(3, "b", "c");
            assertEquals(Set.of("b", "c"), awaitList());
        }
    }

    /** A new process must have a list within 2 s of its start of service; the scheduler's backoff is longer. */
    @Test
    void aProcessThatReplacesAnotherRetriesUntilItsFirstList() throws Exception {
        loop.execute(() -> watch.retryPromptly(20));
        DiscoveryConnection.accept(server).close();
        long start = System.nanoTime();
        for (int i = 0; i < 6; i++) {
            try (DiscoveryConnection discovery = DiscoveryConnection.accept(server)) {
                assertEquals("/api/targets?since=41", discovery.readTarget());
                discovery.answer(503, "");
            }
        }
        try (DiscoveryConnection silent = DiscoveryConnection.accept(server);
                DiscoveryConnection beside = DiscoveryConnection.accept(server)) {
            assertEquals("/api/targets?since=41", silent.readTarget());
            assertEquals("/api/targets?since=41", beside.readTarget());
            double elapsedS = (System.nanoTime() - start) / 1e9;
            assertTrue(elapsedS < 7 * 1.5 * EndpointWatch.MAX_BACKOFF_S + 1.5, elapsedS + " s for eight polls");
            beside.answerChanges(42, "a");
            assertEquals(Set.of("a"), awaitList());
        }
    }
}
