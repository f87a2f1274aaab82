package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.transport.EventLoop;

class EndpointWatchTest {

    /** Seconds: discovery, when overloaded, answers polls that have waited a little less. */
    private static final double DISCOVERY_LIMIT_S = 2.2;
    /** Seconds after which events count as delivered: past a long poll's wait, and after a change of address. */
    private static final double DELIVERED_AFTER_WAIT_S = 2;

    private static final double DELIVERED_AFTER_ADDRESS_CHANGE_S = 4;

    private static final long KNOWN_VERSION = 41;

    private final DeploymentSettings site = TestDeploymentSettings.small();
    private final EventLoop loop = new EventLoop(100, 1 << 16);
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<Collection<WorkerEndpoint>> lists = new LinkedBlockingQueue<>();
    private final EndpointWatch watch = new EndpointWatch(loop, addressOf(server), site, KNOWN_VERSION);
    private final Gatherer core = new Gatherer(site.scheduler(), 3, loop, new FrameBackend(loop, site), watch);

    EndpointWatchTest() throws IOException {
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

    private static ServerSocket listen() throws IOException {
        ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        other.setSoTimeout(30_000);
        return other;
    }

    private static InetSocketAddress addressOf(ServerSocket server) {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private void changeAddress(ServerSocket to) {
        loop.execute(() -> watch.changeAddress(addressOf(to)));
    }

    /** The ids of the workers in the next list that the gatherer takes. */
    private Set<String> awaitList() throws InterruptedException {
        Collection<WorkerEndpoint> list = lists.poll(30, TimeUnit.SECONDS);
        assertTrue(list != null, "no list came");
        return list.stream().map(WorkerEndpoint::id).collect(Collectors.toSet());
    }

    private static String pollLine(long version, int waitMs) {
        return "GET /api/targets?since=" + version + "&timeout_ms=" + waitMs + " HTTP/1.1";
    }

    @Test
    void eachAnswerIsFollowedByAPollAndAFailureByARetry() throws Exception {
        try (DiscoveryConnection discovery = DiscoveryConnection.accept(server)) {
            assertEquals("/api/targets?since=41", discovery.readTarget());
            String indented = DiscoveryConnection.list(42, false, "a", "b")
                    .replace(",", ",\r\n\t  ")
                    .replace("{", "{\n    ")
                    .replace("]", "\n]");
            discovery.answer(200, indented);
            assertEquals(Set.of("a", "b"), awaitList());
            assertEquals("/api/targets?since=42", discovery.readTarget());
            discovery.answerComplete(43, "b");
            assertEquals(Set.of("b"), awaitList());
            assertEquals("/api/targets?since=43", discovery.readTarget());
        }
        try (DiscoveryConnection discovery = DiscoveryConnection.accept(server)) {
            assertEquals("/api/targets?since=43", discovery.readTarget());
            discovery.answer(200, "{\"hosts\":[{\"host\":7}]}");
        }
        try (DiscoveryConnection discovery = DiscoveryConnection.accept(server)) {
            assertEquals("/api/targets?since=43", discovery.readTarget());
        }
    }

    /**
     * Seen when 64 gatherers were restarted at once and discovery was overloaded: it then answers polls that have waited for
     * two seconds, and each had timed out after 1.9 s. 33 gatherers had no list for ten seconds.
     */
    @Test
    void aPollOutlastsTheTimeLimitOfAnOverloadedDiscovery() throws Exception {
        try (DiscoveryConnection discovery = DiscoveryConnection.accept(server)) {
            assertEquals("/api/targets?since=41", discovery.readTarget());
            Thread.sleep((long) (DISCOVERY_LIMIT_S * 1000));
            discovery.answerChanges(42, "a");
            assertEquals(Set.of("a"), awaitList());
        }
    }

    /**
     * Discovery takes a poll and answers nothing, or stops in the middle of its answer. The poll is retried on a new connection
     * at once, and not after a pause of the scheduler's, and asks for an answer at once.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 X\r\nContent-Length: 90\r\n\r\n{\"seq\":42,"})
    void anOverduePollIsRetriedAtOnceByOneThatIsNotHeld(String begun) throws Exception {
        try (DiscoveryConnection silent = DiscoveryConnection.accept(server)) {
            assertEquals("/api/targets?since=41", silent.readTarget());
            silent.write(begun);
            try (DiscoveryConnection retry = DiscoveryConnection.accept(server)) {
                assertEquals(pollLine(41, 1), retry.readRequestLine());
                assertTrue(lists.isEmpty());
            }
        }
    }

    /**
     * The first poll at a new address is not answered. It used to time out at the very moment at which its events count as
     * delivered, and the retry asked for changes since a version of the old address. Now there is time for two polls.
     */
    @Test
    void anOverdueFirstPollAfterAnAddressChangeIsRetriedInTime() throws Exception {
        assertTrue(
                EndpointWatch.ADDRESS_CHANGE_TIMEOUT_S + 1 < DELIVERED_AFTER_ADDRESS_CHANGE_S,
                "two polls, and a connection that is lost, fit in");
        assertTrue(EndpointWatch.ADDRESS_CHANGE_TIMEOUT_S > DISCOVERY_LIMIT_S, "outlasts an overloaded discovery");
        try (ServerSocket other = listen()) {
            changeAddress(other);
            Socket silent = other.accept();
            try (silent;
                    DiscoveryConnection retry = DiscoveryConnection.accept(other)) {
                assertEquals("/api/targets", retry.readTarget());
                retry.answerComplete(7, "c");
                assertEquals(Set.of("c"), awaitList());
                assertEquals("/api/targets?since=7", retry.readTarget());
            }
        }
    }

    /** How a long poll ends without an event; the connection is closed right after. */
    enum PollFailure {
        UNAVAILABLE {
            @Override
            void apply(DiscoveryConnection discovery) throws IOException {
                discovery.answer(503, "");
            }
        },
        CLOSED {
            @Override
            void apply(DiscoveryConnection discovery) {}
        },
        RESET {
            @Override
            void apply(DiscoveryConnection discovery) throws IOException {
                discovery.socket.setSoLinger(true, 0);
            }
        },
        HALF_ANSWERED {
            @Override
            void apply(DiscoveryConnection discovery) throws IOException {
                discovery.write("HTTP/1.1 200 X\r\nContent-Length: 90\r\n\r\n{\"seq\":43,");
            }
        },
        RESET_IN_AN_ANSWER_WITHOUT_LENGTH {
            @Override
            void apply(DiscoveryConnection discovery) throws IOException {
                discovery.write("HTTP/1.1 200 X\r\n\r\n{\"seq\":43,");
                discovery.socket.setSoLinger(true, 0);
            }
        };

        abstract void apply(DiscoveryConnection discovery) throws IOException;
    }

    /**
     * A long poll fails. Events count as delivered 6 s after discovery is reachable again, so that the loss of the next poll
     * must be noticed early. It used to be a long one, held for 8 s and overdue after 8.5 s; now it is not held.
     */
    @ParameterizedTest
    @EnumSource(PollFailure.class)
    void aFailedPollIsFollowedByOneThatIsNotHeld(PollFailure failure) throws Exception {
        try (DiscoveryConnection discovery = DiscoveryConnection.accept(server)) {
            discovery.readTarget();
            discovery.answerChanges(42, "a");
            assertEquals(Set.of("a"), awaitList());
            assertEquals(pollLine(42, EndpointWatch.LONG_POLL_MS), discovery.readRequestLine());
            failure.apply(discovery);
        }
        try (DiscoveryConnection discovery = DiscoveryConnection.accept(server)) {
            assertEquals(pollLine(42, EndpointWatch.FIRST_POLL_MS), discovery.readRequestLine());
            discovery.readHeaders();
            discovery.answerChanges(43, "b");
            assertEquals(Set.of("a", "b"), awaitList());
            assertEquals(pollLine(43, EndpointWatch.LONG_POLL_MS), discovery.readRequestLine());
        }
    }

    /**
     * An overdue poll and its retry are both answered. The first answer is used and the other connection closed: an older list
     * that comes second must not replace a newer one.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void ofAnOverduePollAndItsRetryTheFirstAnswerIsUsed(boolean overdueOneAnswers) throws Exception {
        try (DiscoveryConnection overdue = DiscoveryConnection.accept(server)) {
            overdue.readTarget();
            try (DiscoveryConnection retry = DiscoveryConnection.accept(server)) {
                assertEquals("/api/targets?since=41", retry.readTarget());
                DiscoveryConnection first = overdueOneAnswers ? overdue : retry;
                DiscoveryConnection second = overdueOneAnswers ? retry : overdue;
                first.answerChanges(43, "new");
                assertEquals(Set.of("new"), awaitList());
                assertEquals("/api/targets?since=43", first.readTarget());
                assertEquals(-1, second.read());
                second.answerChanges(42, "old");
                first.answerChanges(44, "newer");
                assertEquals(Set.of("new", "newer"), awaitList());
            }
        }
    }

    @Test
    void anAddressChangeEndsAnOverduePollAndItsRetry() throws Exception {
        try (ServerSocket other = listen();
                DiscoveryConnection overdue = DiscoveryConnection.accept(server)) {
            overdue.readTarget();
            try (DiscoveryConnection retry = DiscoveryConnection.accept(server)) {
                retry.readTarget();
                changeAddress(other);
                try (DiscoveryConnection discovery = DiscoveryConnection.accept(other)) {
                    assertEquals("/api/targets", discovery.readTarget());
                    assertEquals(-1, overdue.read());
                    assertEquals(-1, retry.read());
                    discovery.answerChanges(7, "c");
                    assertEquals(Set.of("c"), awaitList());
                    assertEquals("/api/targets?since=7", discovery.readTarget());
                }
            }
        }
    }

    /**
     * The address changes while the scheduler pauses after a failure, and the end of the pause finds a poll in flight. A second
     * poll would have connected by the time of the test's own connection, which comes last in the accept queue.
     */
    @Test
    void anAddressChangeDuringAPauseMakesOnePoll() throws Exception {
        try (ServerSocket other = listen()) {
            try (DiscoveryConnection discovery = DiscoveryConnection.accept(server)) {
                discovery.readTarget();
            }
            changeAddress(other);
            try (DiscoveryConnection discovery = DiscoveryConnection.accept(other)) {
                assertEquals("/api/targets", discovery.readTarget());
                PlatformFixtures.onLoop(loop, () -> {
                    watch.watch();
                    return null;
                });
                discovery.answerChanges(7, "c");
                assertEquals("/api/targets?since=7", discovery.readTarget());
                try (Socket last = new Socket(other.getInetAddress(), other.getLocalPort());
                        Socket next = other.accept()) {
                    assertEquals(last.getLocalPort(), next.getPort());
                }
            }
        }
    }

    /** Every socket is in use, as where workers hang. A watch that ended could not be opened again then. */
    @Test
    void discoveryIsPolledWhereEverySocketIsInUse() throws Exception {
        loop.execute(() -> loop.setSocketCap(0));
        server.accept().close();
        try (DiscoveryConnection discovery = DiscoveryConnection.accept(server)) {
            assertEquals("/api/targets?since=41", discovery.readTarget());
            discovery.answerChanges(42, "a");
            assertEquals(Set.of("a"), awaitList());
        }
    }

    /** Where lists are pushed a drain event counts as delivered at once, and calls must stop within the drain grace. */
    @Test
    void theNextPollOfAnAgentFitsIntoTheDrainGrace() {
        double longestPauseS = 1.5 * EndpointWatch.MAX_AGENT_BACKOFF_S;
        assertTrue(
                longestPauseS < site.scheduler().rules().drainGraceS() - 0.1,
                "with its jitter, and time for an answer");
    }

    /** Where lists are pushed the core never polls. Found by reading: no watch was ever opened. */
    @Test
    void whereListsArePushedTheWatchStartsAndRetriesByItself() throws Exception {
        DeploymentSettings pushed = TestDeploymentSettings.with(
                TestDeploymentSettings.SETTINGS.replace("\"Discovery\":\"subscribe\"", "\"Discovery\":\"automatic\""));
        try (ServerSocket agent = listen()) {
            EndpointWatch agentWatch = new EndpointWatch(loop, addressOf(agent), pushed, KNOWN_VERSION);
            agentWatch.start(new Gatherer(pushed.scheduler(), 3, loop, new FrameBackend(loop, pushed), agentWatch));
            for (int i = 0; i < 3; i++) {
                try (DiscoveryConnection discovery = DiscoveryConnection.accept(agent)) {
                    assertEquals("/api/targets?since=41", discovery.readTarget());
                }
            }
        }
    }

    /**
     * Seen with 53 watches unanswered from their first moment while half of the workers were replaced: they timed out four
     * seconds past their wait, two after all that they missed counted as delivered, and had sent 98 calls to workers long gone.
     */
    @Test
    void aPollIsOverdueEarlyEnoughForARetryBeforeItsEventsCountAsDelivered() {
        double waitS = EndpointWatch.LONG_POLL_MS / 1e3;
        double longPollTimeoutS = EndpointWatch.pollTimeoutS(EndpointWatch.LONG_POLL_MS);
        assertTrue(longPollTimeoutS <= waitS + DELIVERED_AFTER_WAIT_S - 1, "time for a pause, and an answer");
        assertTrue(longPollTimeoutS > waitS, "an answer at the end of the wait is awaited");
        double firstPollTimeoutS = EndpointWatch.pollTimeoutS(EndpointWatch.FIRST_POLL_MS);
        assertTrue(firstPollTimeoutS > DISCOVERY_LIMIT_S, "outlasts an overloaded discovery");
    }

    /** The old watch must end: a list that still came from it would replace the new one. */
    @Test
    void anAddressChangeEndsTheOldWatchAndAsksForTheCompleteList() throws Exception {
        try (ServerSocket other = listen();
                DiscoveryConnection old = DiscoveryConnection.accept(server)) {
            assertEquals("/api/targets?since=41", old.readTarget());
            changeAddress(other);
            assertEquals(-1, old.read());
            try (DiscoveryConnection discovery = DiscoveryConnection.accept(other)) {
                assertEquals("/api/targets", discovery.readTarget());
                assertTrue(lists.isEmpty());
                discovery.answerComplete(7, "c");
                assertEquals(Set.of("c"), awaitList());
                assertEquals("/api/targets?since=7", discovery.readTarget());
            }
        }
    }
}
