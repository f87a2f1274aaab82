package pepperdock.platform;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.Attempt;
import pepperdock.core.Backend;
import pepperdock.core.Gatherer;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpRequestHandler;
import pepperdock.transport.HttpResponseSender;
import pepperdock.transport.HttpServer;

/**
 * Measures how soon a client's disconnect is noticed, and which attempts start after it. Each client requests one part,
 * which its workers fail or never answer, so that there are retries, and disconnects after 0 to 150 ms. This is a
 * benchmark, not a test: its figures depend on the machine's clock.
 *
 * <p>Arguments: the number of queries, and the milliseconds of work by which the loop is kept busy in each turn, with
 * {@link #PAUSE_MS} between turns.
 */
final class ClientGoneBenchmark {

    private static final int CLIENTS = 8;
    /**
     * The first queries of each client are not counted: classes are loaded during them, which in service happens before
     * the first query.
     */
    private static final int WARM_UP_QUERIES = 15;

    private static final int MAX_CLIENT_WAIT_MS = 150;
    private static final int PAUSE_MS = 10;
    /** Attempts that start later than this after the disconnect are also counted separately, as the operators do. */
    private static final long LATE_NANOS = 100_000_000;
    /** One in this many parts is never answered by its worker; the others fail. */
    private static final int UNANSWERED_ONE_IN = 4;

    private static final int MAX_RESPONSE_MS = 60;

    private final Map<String, Long> disconnectedAt = new ConcurrentHashMap<>();
    private final Map<String, Long> noticedAt = new ConcurrentHashMap<>();
    private final List<StartedAttempt> attempts = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService responseTimer = new ScheduledThreadPoolExecutor(1);

    /** An attempt that was passed on to its connection, and the time at which it was. */
    private record StartedAttempt(String query, long nanos) {}

    public static void main(String[] args) throws Exception {
        new ClientGoneBenchmark().run(Integer.parseInt(args[0]), Integer.parseInt(args[1]));
        System.exit(0);
    }

    private void run(int queries, int busyMs) throws Exception {
        DeploymentSettings settings = TestDeploymentSettings.with(
                TestDeploymentSettings.SETTINGS.replace("\"MostHeld\":40", "\"MostHeld\":400"));
        EventLoop loop = new EventLoop(500, 1 << 18);
        FrameBackend backend = new FrameBackend(loop, settings);
        Gatherer core = new Gatherer(settings.scheduler(), 3, loop, new AttemptRecorder(backend), () -> {});
        backend.start(core);
        HttpServer server = PlatformFixtures.listen(
                loop, 1 << 16, 300, recordDisconnects(new PlatformFront(settings, core, () -> true)));
        FakeWorker first = failingWorker();
        FakeWorker second = failingWorker();
        loop.execute(() -> core.onEndpointList(
                EndpointListKind.CACHED,
                List.of(
                        PlatformFixtures.endpoint("w0", 0, first.address()),
                        PlatformFixtures.endpoint("w1", 1, second.address()))));
        if (busyMs > 0) {
            keepBusy(loop, busyMs);
        }
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients[i] = new Thread(() -> runClient(number, queries / CLIENTS, server));
            clients[i].start();
        }
        for (Thread client : clients) {
            client.join();
        }
        Thread.sleep(1000);
        report(busyMs);
    }

    private void report(int busyMs) {
        double[] noticedAfterMs = disconnectedAt.keySet().stream()
                .filter(noticedAt::containsKey)
                .mapToDouble(id -> Math.max(0, noticedAt.get(id) - disconnectedAt.get(id)) / 1e6)
                .sorted()
                .toArray();
        int count = noticedAfterMs.length;
        System.out.printf(
                Locale.ROOT,
                "loop busy for %d ms per turn: %d clients disconnected, %d of them during a query, noticed after"
                        + " %.2f ms (median), %.2f (99th percentile), %.2f (maximum); %d attempts, %d of them started"
                        + " after the disconnect, %d later than 0.1 s after it%n",
                busyMs,
                disconnectedAt.size(),
                count,
                noticedAfterMs[count / 2],
                noticedAfterMs[count * 99 / 100],
                noticedAfterMs[count - 1],
                attempts.size(),
                startedAfterDisconnect(0),
                startedAfterDisconnect(LATE_NANOS));
    }

    private long startedAfterDisconnect(long nanos) {
        return attempts.stream()
                .filter(a -> disconnectedAt.containsKey(a.query()) && a.nanos() - disconnectedAt.get(a.query()) > nanos)
                .count();
    }

    /** Records the time at which attempts are passed on. */
    private final class AttemptRecorder extends ForwardingBackend {

        private AttemptRecorder(Backend delegate) {
            super(delegate);
        }

        @Override
        public void sendCall(String worker, List<Attempt> call) {
            long now = System.nanoTime();
            call.forEach(attempt -> attempts.add(
                    new StartedAttempt(attempt.part().query().request().id(), now)));
            super.sendCall(worker, call);
        }
    }

    private HttpRequestHandler recordDisconnects(PlatformFront front) {
        return new HttpRequestHandler() {
            @Override
            public Runnable serve(HttpMessage message, HttpResponseSender reply) throws HttpException {
                String id = message.header("Request-Id");
                Runnable onClientGone = front.serve(message, reply);
                return () -> {
                    noticedAt.put(id, System.nanoTime());
                    onClientGone.run();
                };
            }

            @Override
            public void respondWithError(int status, String why, HttpResponseSender reply) {
                front.respondWithError(status, why, reply);
            }
        };
    }

    private static void keepBusy(EventLoop loop, int busyMs) {
        loop.after(PAUSE_MS / 1e3, () -> {
            long until = System.nanoTime() + busyMs * 1_000_000L;
            while (System.nanoTime() < until) {
                Thread.onSpinWait();
            }
            keepBusy(loop, busyMs);
        });
    }

    private void runClient(int number, int count, HttpServer server) {
        SplittableRandom random = new SplittableRandom(number);
        try {
            for (int i = 0; i < WARM_UP_QUERIES + count; i++) {
                String id = "c" + number + "-" + i;
                Socket client = PlatformFixtures.connect(server);
                client.getOutputStream().write(PlatformFixtures.onePartQuery(id, 5000));
                Thread.sleep(random.nextInt(MAX_CLIENT_WAIT_MS));
                client.setSoLinger(random.nextBoolean(), 0);
                client.close();
                if (i >= WARM_UP_QUERIES) {
                    disconnectedAt.put(id, System.nanoTime());
                }
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Creates a worker that fails most parts after a while, and never answers the others. */
    private FakeWorker failingWorker() throws IOException {
        SplittableRandom random = new SplittableRandom();
        return new FakeWorker((parts, connection) -> {
            for (FakeWorker.ReceivedPart part : parts) {
                synchronized (random) {
                    if (random.nextInt(UNANSWERED_ONE_IN) > 0) {
                        var unused = responseTimer.schedule(
                                () -> fail(part, connection), random.nextInt(MAX_RESPONSE_MS), TimeUnit.MILLISECONDS);
                    }
                }
            }
        });
    }

    private static Void fail(FakeWorker.ReceivedPart part, Socket connection) throws IOException {
        FakeWorker.sendResult(connection, part.id() + " bad 1 -", "");
        return null;
    }
}
