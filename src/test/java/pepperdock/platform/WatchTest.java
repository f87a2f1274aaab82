package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.Sites;
import pepperdock.core.Gatherer;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.transport.Loop;

class WatchTest {

    private static final String HOST =
            "{\"host\":\"%s\",\"dial\":\"127.0.0.1:1\",\"block\":0,\"health\":\"in_service\",\"born_ms\":0}";

    private final DeploymentSettings site = Sites.small();
    private final Loop loop = new Loop(100, 1 << 16);
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<Collection<WorkerEndpoint>> lists = new LinkedBlockingQueue<>();
    private final Watch watch = new Watch(loop, (InetSocketAddress) server.getLocalSocketAddress(), site, 41);
    private final Gatherer core = new Gatherer(site.module(), 3, loop, new WorkerPool(loop, site), watch);

    WatchTest() throws IOException {
        server.setSoTimeout(30_000);
        watch.start(core);
        loop.execute(() -> {
            core.addEndpointListListener(lists::add);
            core.onEndpointList(EndpointListKind.CACHED, java.util.List.of());
        });
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        loop.close();
    }

    private static String asked(BufferedReader in) throws IOException {
        String first = in.readLine();
        String header;
        do {
            header = in.readLine();
        } while (!header.isEmpty());
        return first.split(" ")[1].replaceAll("&.*", "");
    }

    private static void answer(Socket s, int status, String body) throws IOException {
        s.getOutputStream()
                .write(("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private Collection<WorkerEndpoint> list() throws InterruptedException {
        Collection<WorkerEndpoint> told = lists.poll(30, TimeUnit.SECONDS);
        assertTrue(told != null, "no list told");
        return told;
    }

    @Test
    void eachAnswerArmsTheNextCallAndAFailureIsAskedAgain() throws Exception {
        try (Socket s = server.accept()) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
            assertEquals("/api/targets?since=41", asked(in));
            // Lists may come indented.
            answer(
                    s,
                    200,
                    ("{\"seq\":42,\"whole\":false,\"hosts\":[" + HOST.formatted("a") + ',' + HOST.formatted("b") + "]}")
                            .replace(",", ",\r\n\t  ")
                            .replace("{", "{\n    ")
                            .replace("]", "\n]"));
            assertEquals(2, list().size());
            assertEquals("/api/targets?since=42", asked(in));
            answer(s, 200, "{\"seq\":43,\"whole\":true,\"hosts\":[" + HOST.formatted("b") + "]}");
            assertEquals("b", list().iterator().next().id());
            assertEquals("/api/targets?since=43", asked(in));
        }
        try (Socket s = server.accept()) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
            assertEquals("/api/targets?since=43", asked(in));
            answer(s, 200, "{\"hosts\":[{\"host\":7}]}");
        }
        try (Socket s = server.accept()) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
            assertEquals("/api/targets?since=43", asked(in));
        }
    }

    /**
     * Seen over 64 gatherers restarted at once while the list was overbooked: it answers calls that have waited two seconds
     * next, and each had been given up at 1.9 s; 33 of them had no list for ten seconds.
     */
    @Test
    void aCallOutlastsTheLimitOfAListThatIsOverbooked() throws Exception {
        try (Socket s = server.accept()) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
            assertEquals("/api/targets?since=41", asked(in));
            Thread.sleep(2200);
            answer(s, 200, "{\"seq\":42,\"whole\":false,\"hosts\":[" + HOST.formatted("a") + "]}");
            assertEquals("a", list().iterator().next().id());
        }
    }

    private Watch other(String settings, ServerSocket at) {
        DeploymentSettings its = Sites.with(settings);
        Watch w = new Watch(loop, (InetSocketAddress) at.getLocalSocketAddress(), its, 41);
        w.start(new Gatherer(its.module(), 3, loop, new WorkerPool(loop, its), w));
        return w;
    }

    /**
     * Silent in the middle of its answer, and from its first moment: opened anew on a new connection, asking for what is new
     * at once, and not after a pause of the module's.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 X\r\nContent-Length: 90\r\n\r\n{\"seq\":42,"})
    void aCallThatFallsSilentIsOpenedAnewAtOnceAndMayNotWait(String said) throws Exception {
        try (Socket s = server.accept()) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
            assertEquals("/api/targets?since=41", asked(in));
            s.getOutputStream().write(said.getBytes(StandardCharsets.US_ASCII));
            try (Socket anew = server.accept()) {
                in = new BufferedReader(new InputStreamReader(anew.getInputStream(), StandardCharsets.US_ASCII));
                assertEquals("GET /api/targets?since=41&timeout_ms=1 HTTP/1.1", in.readLine());
                assertTrue(lists.isEmpty());
            }
        }
    }

    /** Was: given up at the very moment at which its news count as told, and then asked for the changes of another list. */
    @Test
    void aFirstCallAfterAMoveThatIsSilentIsOpenedAnewWhileItsNewsDoNotCountYet() throws Exception {
        assertTrue(Watch.MOVED_S + 1 < 4, "two calls, and a connection that is lost, within the four seconds");
        assertTrue(Watch.MOVED_S > 2.2, "an overbooked list's own limit is outlasted");
        try (ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            loop.execute(() -> watch.move((InetSocketAddress) other.getLocalSocketAddress()));
            Socket silent = other.accept();
            try (silent;
                    Socket anew = other.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(anew.getInputStream(), StandardCharsets.US_ASCII));
                assertEquals("/api/targets", asked(in));
                answer(anew, 200, "{\"seq\":7,\"whole\":true,\"hosts\":[" + HOST.formatted("c") + "]}");
                assertEquals("c", list().iterator().next().id());
                assertEquals("/api/targets?since=7", asked(in));
            }
        }
    }

    private static BufferedReader reader(Socket s) throws IOException {
        return new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
    }

    private static String changes(long seq, String host) {
        return "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + HOST.formatted(host) + "]}";
    }

    /** How a watch that waits for news ends without telling any. */
    enum Ending {
        REFUSED_503 {
            @Override
            void end(Socket s) throws IOException {
                answer(s, 503, "");
            }
        },
        CLOSED {
            @Override
            void end(Socket s) {}
        },
        RESET {
            @Override
            void end(Socket s) throws IOException {
                s.setSoLinger(true, 0);
            }
        },
        HALF_ANSWERED {
            @Override
            void end(Socket s) throws IOException {
                s.getOutputStream()
                        .write("HTTP/1.1 200 X\r\nContent-Length: 90\r\n\r\n{\"seq\":43,"
                                .getBytes(StandardCharsets.US_ASCII));
            }
        },
        RESET_IN_AN_ANSWER_WITHOUT_LENGTH {
            @Override
            void end(Socket s) throws IOException {
                s.getOutputStream().write("HTTP/1.1 200 X\r\n\r\n{\"seq\":43,".getBytes(StandardCharsets.US_ASCII));
                s.setSoLinger(true, 0);
            }
        };

        /** What comes before the connection is closed. */
        abstract void end(Socket s) throws IOException;
    }

    /**
     * A call after a failure is one whose loss must be known soon: whatever it misses counts as told 6 s after the list could
     * be reached. Was: it might wait 8 s for news, and was given up half a second after that.
     */
    @ParameterizedTest
    @EnumSource(Ending.class)
    void aWatchThatEndsWithoutNewsIsOpenedAgainByACallThatDoesNotWait(Ending how) throws Exception {
        try (Socket s = server.accept()) {
            BufferedReader in = reader(s);
            asked(in);
            answer(s, 200, changes(42, "a"));
            assertEquals(1, list().size());
            assertEquals("GET /api/targets?since=42&timeout_ms=" + Watch.WAIT_MS + " HTTP/1.1", in.readLine());
            how.end(s);
        }
        try (Socket s = server.accept()) {
            BufferedReader in = reader(s);
            assertEquals("GET /api/targets?since=42&timeout_ms=" + Watch.FIRST_WAIT_MS + " HTTP/1.1", in.readLine());
            String line = in.readLine();
            while (!line.isEmpty()) {
                line = in.readLine();
            }
            answer(s, 200, changes(43, "b"));
            assertEquals(2, list().size());
            assertEquals("GET /api/targets?since=43&timeout_ms=" + Watch.WAIT_MS + " HTTP/1.1", in.readLine());
        }
    }

    /** Of a late call and the one beside it the first answer counts; an older one behind it must not go over it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void ofALateCallAndTheOneBesideItOneAnswerCounts(boolean lateOneAnswers) throws Exception {
        try (Socket late = server.accept()) {
            BufferedReader inLate = reader(late);
            asked(inLate);
            try (Socket beside = server.accept()) {
                BufferedReader inBeside = reader(beside);
                assertEquals("/api/targets?since=41", asked(inBeside));
                answer(lateOneAnswers ? late : beside, 200, changes(43, "new"));
                assertEquals("new", list().iterator().next().id());
                assertEquals("/api/targets?since=43", asked(lateOneAnswers ? inLate : inBeside));
                Socket other = lateOneAnswers ? beside : late;
                assertEquals(-1, (lateOneAnswers ? inBeside : inLate).read());
                answer(other, 200, changes(42, "old"));
                answer(lateOneAnswers ? late : beside, 200, changes(44, "newer"));
                assertEquals(
                        Set.of("new", "newer"),
                        list().stream().map(WorkerEndpoint::id).collect(Collectors.toSet()));
            }
        }
    }

    @Test
    void aMoveEndsALateCallAndTheOneBesideIt() throws Exception {
        try (ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                Socket late = server.accept()) {
            BufferedReader inLate = reader(late);
            asked(inLate);
            try (Socket beside = server.accept()) {
                BufferedReader inBeside = reader(beside);
                asked(inBeside);
                loop.execute(() -> watch.move((InetSocketAddress) other.getLocalSocketAddress()));
                try (Socket moved = other.accept()) {
                    BufferedReader in = reader(moved);
                    assertEquals("/api/targets", asked(in));
                    assertEquals(-1, inLate.read());
                    assertEquals(-1, inBeside.read());
                    answer(moved, 200, changes(7, "c"));
                    assertEquals("c", list().iterator().next().id());
                    assertEquals("/api/targets?since=7", asked(in));
                }
            }
        }
    }

    /** Who connects to the server behind the calls stands behind them in its queue: each call would be one more. */
    @Test
    void aMoveWithinTheModulesPauseMakesOneCall() throws Exception {
        try (ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Socket s = server.accept();
            asked(reader(s));
            s.close();
            loop.execute(() -> watch.move((InetSocketAddress) other.getLocalSocketAddress()));
            try (Socket moved = other.accept()) {
                BufferedReader in = reader(moved);
                assertEquals("/api/targets", asked(in));
                CompletableFuture<Void> pauseOver = new CompletableFuture<>();
                loop.execute(() -> {
                    watch.watch();
                    pauseOver.complete(null);
                });
                pauseOver.get(30, TimeUnit.SECONDS);
                answer(moved, 200, changes(7, "c"));
                assertEquals("/api/targets?since=7", asked(in));
                try (Socket last = new Socket(other.getInetAddress(), other.getLocalPort());
                        Socket next = other.accept()) {
                    assertEquals(last.getLocalPort(), next.getPort());
                }
            }
        }
    }

    /** Was: with every socket in use, as where workers hang, a watch that ended could not be opened again. */
    @Test
    void theListIsAskedForWhereEverySocketIsInUse() throws Exception {
        loop.execute(() -> loop.capSockets(0));
        server.accept().close();
        try (Socket s = server.accept()) {
            BufferedReader in = reader(s);
            assertEquals("/api/targets?since=41", asked(in));
            answer(s, 200, changes(42, "a"));
            assertEquals("a", list().iterator().next().id());
        }
    }

    /** Word of a drain counts at once where lists come unasked, and half a second later nothing may go. */
    @Test
    void theNextTryAtAnAgentFitsIntoTheGraceOfADrain() {
        assertTrue(
                1.5 * Watch.AGENT_MOST_S < site.module().rules().drainGraceS() - 0.1,
                "with its random part, and an answer");
    }

    /** Where the settings say that lists come unasked the module never asks: found by reading, no watch was ever opened. */
    @Test
    void whereListsComeUnaskedTheWatchOpensItselfAndAgainAfterAFailure() throws Exception {
        try (ServerSocket agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            agent.setSoTimeout(30_000);
            other(Sites.SETTINGS.replace("\"Discovery\":\"subscribe\"", "\"Discovery\":\"automatic\""), agent);
            for (int i = 0; i < 3; i++) {
                try (Socket s = agent.accept()) {
                    assertEquals(
                            "/api/targets?since=41",
                            asked(new BufferedReader(
                                    new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII))));
                }
            }
        }
    }

    /**
     * Seen with 53 watches silent from their first moment while half of the workers were replaced: given up four seconds past
     * their wait, two after all that they missed counted as told, they had sent 98 calls to workers long gone.
     */
    @Test
    void aWatchThatIsSilentIsGivenUpInTimeToAskAnewBeforeItsNewsCountAsTold() {
        double told = Watch.WAIT_MS / 1e3 + 2;
        assertTrue(Watch.patienceS(Watch.WAIT_MS) <= told - 1, "time for the module's pause, and an answer");
        assertTrue(Watch.patienceS(Watch.WAIT_MS) > Watch.WAIT_MS / 1e3, "an answer at the end of the wait is awaited");
        assertTrue(Watch.patienceS(Watch.FIRST_WAIT_MS) > 2.2, "an overbooked list's own limit is outlasted");
    }

    /** The old watch must end: what it still told would go over the new list. */
    @Test
    void aMoveAsksTheNewAddressForTheWholeListAndEndsTheOldWatch() throws Exception {
        try (ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                Socket old = server.accept()) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(old.getInputStream(), StandardCharsets.US_ASCII));
            assertEquals("/api/targets?since=41", asked(in));
            loop.execute(() -> watch.move((InetSocketAddress) other.getLocalSocketAddress()));
            assertEquals(-1, in.read());
            try (Socket s = other.accept()) {
                in = new BufferedReader(new InputStreamReader(s.getInputStream(), StandardCharsets.US_ASCII));
                assertEquals("/api/targets", asked(in));
                assertTrue(lists.isEmpty());
                answer(s, 200, "{\"seq\":7,\"whole\":true,\"hosts\":[" + HOST.formatted("c") + "]}");
                assertEquals("c", list().iterator().next().id());
                assertEquals("/api/targets?since=7", asked(in));
            }
        }
    }
}
