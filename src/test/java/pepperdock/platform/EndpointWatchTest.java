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

    /** Seconds: an overloaded discovery answers polls that have waited for slightly less than this. */
    private static final double DISCOVERY_LIMIT_S = 2.2;
    /** Seconds after which events count as delivered: after the end of a long poll, and after an address change. */
    private static final double DELIVERED_AFTER_WAIT_S = 2;

    private static final double DELIVERED_AFTER_ADDRESS_CHANGE_S = 4;

    private static final long KNOWN_VERSION = 41;

    private final DeploymentSettings settings = TestDeploymentSettings.small();
    private final EventLoop loop = new EventLoop(100, 1 << 16);
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<Collection<WorkerEndpoint>> lists = new LinkedBlockingQueue<>();
    private final EndpointWatch watch = new EndpointWatch(loop, addressOf(server), settings, KNOWN_VERSION);
    private final Gatherer core = new Gatherer(settings.scheduler(), 3, loop, new FrameBackend(loop, settings), watch);

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

    private void changeAddress(ServerSocket newServer) {
        loop.execute(() -> watch.changeAddress(addressOf(newServer)));
    }

    /** Returns the ids of the workers in the next list that the gatherer receives. */
    private Set<String> awaitList() throws InterruptedException {
        Collection<WorkerEndpoint> list = lists.poll(30, TimeUnit.SECONDS);
        assertTrue(list != null, "no list arrived in time");
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
     * When 64 gatherers were restarted at once, discovery was overloaded and answered polls that had waited for two
     * seconds, but each poll timed out after 1.9 s: 33 gatherers had no list for ten seconds. A poll must wait longer
     * than that.
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
     * Discovery accepts a poll and does not answer, or stops in the middle of its answer. The poll is retried on a new
     * connection at once, without the scheduler's pause, and the retry must not be held by discovery.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 X\r\nContent-Length: 90\r\n\r\n{\"seq\":42,"})
    void anOverduePollIsRetriedAtOnceWithoutBeingHeld(String partialAnswer) throws Exception {
        try (DiscoveryConnection silent = DiscoveryConnection.accept(server)) {
            assertEquals("/api/targets?since=41", silent.readTarget());
            silent.write(partialAnswer);
            try (DiscoveryConnection retry = DiscoveryConnection.accept(server)) {
                assertEquals(pollLine(41, 1), retry.readRequestLine());
                assertTrue(lists.isEmpty());
            }
        }
    }

    /**
     * The first poll at a new address is not answered. There must be time for two polls before the events count as
     * delivered, and the retry must request the complete list. An earlier version timed out at the very moment at which
     * the events count as delivered, and its retry requested the changes since a version of the old address.
     */
    @Test
    void anOverdueFirstPollAfterAnAddressChangeIsRetriedInTime() throws Exception {
        assertTrue(
                EndpointWatch.ADDRESS_CHANGE_TIMEOUT_S + 1 < DELIVERED_AFTER_ADDRESS_CHANGE_S,
                "no time for two polls and a lost connection");
        assertTrue(
                EndpointWatch.ADDRESS_CHANGE_TIMEOUT_S > DISCOVERY_LIMIT_S,
                "times out before an overloaded discovery answers");
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

    /** The ways in which a long poll ends without an event; the connection is closed right after. */
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
     * A long poll fails. Events count as delivered 6 s after discovery is reachable again, so the loss of the next poll
     * must be noticed early, and it must not be held. An earlier version sent a long poll, held for 8 s and overdue
     * after 8.5 s.
     */
    @ParameterizedTest
    @EnumSource(PollFailure.class)
    void theNextPollAfterAFailureIsNotHeld(PollFailure failure) throws Exception {
        try (DiscoveryConnection discovery = DiscoveryConnection.accept(server)) {
            discovery.readTarget();
            discovery.answerChanges(42, "a");
            assertEquals(Set.of("a"), awaitList());
            assertEquals(pollLine(42, EndpointWatch.LONG_POLL_WAIT_MS), discovery.readRequestLine());
            failure.apply(discovery);
        }
        try (DiscoveryConnection discovery = DiscoveryConnection.accept(server)) {
            assertEquals(pollLine(42, EndpointWatch.FIRST_POLL_WAIT_MS), discovery.readRequestLine());
            discovery.readHeaders();
            discovery.answerChanges(43, "b");
            assertEquals(Set.of("a", "b"), awaitList());
            assertEquals(pollLine(43, EndpointWatch.LONG_POLL_WAIT_MS), discovery.readRequestLine());
        }
    }

    /**
     * An overdue poll and its retry are both answered. The first answer is used and the other connection closed: an
     * older list that arrives second must not replace a newer one.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theFirstAnswerToAnOverduePollOrItsRetryIsUsed(boolean overduePollAnswersFirst) throws Exception {
        try (DiscoveryConnection overdue = DiscoveryConnection.accept(server)) {
            overdue.readTarget();
            try (DiscoveryConnection retry = DiscoveryConnection.accept(server)) {
                assertEquals("/api/targets?since=41", retry.readTarget());
                DiscoveryConnection first = overduePollAnswersFirst ? overdue : retry;
                DiscoveryConnection second = overduePollAnswersFirst ? retry : overdue;
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
     * The address changes while the scheduler pauses after a failure, so that a poll is in flight when the pause ends.
     * No second poll may be sent: it would have connected before the test's own connection, which comes last in the
     * accept queue.
     */
    @Test
    void anAddressChangeDuringAPauseSendsOnlyOnePoll() throws Exception {
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

    /**
     * Every socket is in use, as when workers hang. If the watch counted towards the socket cap, it could not reconnect
     * after its connection ended.
     */
    @Test
    void discoveryIsPolledWhenEverySocketIsInUse() throws Exception {
        loop.execute(() -> loop.setSocketCap(0));
        server.accept().close();
        try (DiscoveryConnection discovery = DiscoveryConnection.accept(server)) {
            assertEquals("/api/targets?since=41", discovery.readTarget());
            discovery.answerChanges(42, "a");
            assertEquals(Set.of("a"), awaitList());
        }
    }

    /**
     * If lists are pushed, a drain event counts as delivered at once, and calls must stop within the drain grace
     * period.
     */
    @Test
    void theNextPollOfAnAgentFitsIntoTheDrainGrace() {
        double longestPauseS = 1.5 * EndpointWatch.MAX_BACKOFF_S;
        assertTrue(
                longestPauseS < settings.scheduler().rules().drainGraceS() - 0.1,
                "longest pause with jitter leaves no time for an answer");
    }

    /**
     * If lists are pushed, the core never polls. Guards against a watch that never starts: in an earlier version, none
     * was ever opened.
     */
    @Test
    void theWatchStartsAndRetriesByItselfIfListsArePushed() throws Exception {
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
     * While half of the workers were replaced, 53 watches were unanswered from the start. They timed out four seconds
     * after the end of their wait, which was two seconds after everything they missed counted as delivered, and had
     * sent 98 calls to workers that were long gone. Polls must be overdue earlier.
     */
    @Test
    void aPollIsOverdueEarlyEnoughForARetryBeforeItsEventsCountAsDelivered() {
        double waitS = EndpointWatch.LONG_POLL_WAIT_MS / 1e3;
        double longPollTimeoutS = EndpointWatch.pollTimeoutS(EndpointWatch.LONG_POLL_WAIT_MS);
        assertTrue(longPollTimeoutS <= waitS + DELIVERED_AFTER_WAIT_S - 1, "no time for a pause and an answer");
        assertTrue(longPollTimeoutS > waitS, "times out before an answer at the end of the wait");
        double firstPollTimeoutS = EndpointWatch.pollTimeoutS(EndpointWatch.FIRST_POLL_WAIT_MS);
        assertTrue(firstPollTimeoutS > DISCOVERY_LIMIT_S, "times out before an overloaded discovery answers");
    }

    /** The old watch must end: a list that arrived from it later would replace the new one. */
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
