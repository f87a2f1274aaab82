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
 * Measures how soon a client's disconnect is noticed, and what begins after it: clients ask for one part that its workers fail
 * or never answer, so that there are retries, and leave after 0 to 150 ms. A benchmark, not a test: its figures are those of
 * the machine's clock.
 *
 * <p>Arguments: queries, and by how many milliseconds of work the loop is kept busy in each turn, with {@link #PAUSE_MS}
 * between.
 */
final class ClientGoneBenchmark {

    private static final int CLIENTS = 8;
    /** The first queries of each client are not counted: the program loads its classes then, before it serves in service. */
    private static final int WARM_UP_QUERIES = 15;

    private static final int MAX_STAY_MS = 150;
    private static final int PAUSE_MS = 10;
    /** Attempts later than this after the disconnect are counted apart, as the operators do. */
    private static final long LATE_NANOS = 100_000_000;
    /** Of the workers' reactions to a part, one in so many is none at all; the rest are errors. */
    private static final int SILENT_ONE_IN = 4;

    private static final int MAX_REACTION_MS = 60;

    private final Map<String, Long> disconnectedAt = new ConcurrentHashMap<>();
    private final Map<String, Long> noticedAt = new ConcurrentHashMap<>();
    private final List<BegunAttempt> attempts = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService reactions = new ScheduledThreadPoolExecutor(1);

    /** An attempt that was passed on to its connection, and when. */
    private record BegunAttempt(String query, long nanos) {}

    public static void main(String[] args) throws Exception {
        new ClientGoneBenchmark().run(Integer.parseInt(args[0]), Integer.parseInt(args[1]));
        System.exit(0);
    }

    private void run(int queries, int busyMs) throws Exception {
        DeploymentSettings site = TestDeploymentSettings.with(
                TestDeploymentSettings.SETTINGS.replace("\"MostHeld\":40", "\"MostHeld\":400"));
        EventLoop loop = new EventLoop(500, 1 << 18);
        FrameBackend pool = new FrameBackend(loop, site);
        Gatherer core = new Gatherer(site.scheduler(), 3, loop, new AttemptRecorder(pool), () -> {});
        pool.start(core);
        HttpServer server = PlatformFixtures.listen(
                loop, 1 << 16, 300, recordDisconnects(new PlatformFront(site, core, () -> true)));
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
                "held up %d ms a turn: %d clients left, %d with a request in hand, noticed after %.2f ms (median), %.2f (99 of"
                        + " 100), %.2f (worst); %d attempts, begun after the close %d, later than 0.1 s %d%n",
                busyMs,
                disconnectedAt.size(),
                count,
                noticedAfterMs[count / 2],
                noticedAfterMs[count * 99 / 100],
                noticedAfterMs[count - 1],
                attempts.size(),
                begunAfterDisconnect(0),
                begunAfterDisconnect(LATE_NANOS));
    }

    private long begunAfterDisconnect(long nanos) {
        return attempts.stream()
                .filter(a -> disconnectedAt.containsKey(a.query()) && a.nanos() - disconnectedAt.get(a.query()) > nanos)
                .count();
    }

    /** Records when attempts are passed on. */
    private final class AttemptRecorder extends ForwardingBackend {

        private AttemptRecorder(Backend delegate) {
            super(delegate);
        }

        @Override
        public void sendCall(String worker, List<Attempt> call) {
            long now = System.nanoTime();
            call.forEach(attempt -> attempts.add(
                    new BegunAttempt(attempt.part().query().request().id(), now)));
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
            public void rejectMalformed(int status, String why, HttpResponseSender reply) {
                front.rejectMalformed(status, why, reply);
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
                Thread.sleep(random.nextInt(MAX_STAY_MS));
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

    /** A worker that fails most parts after a while, and never answers the others. */
    private FakeWorker failingWorker() throws IOException {
        SplittableRandom random = new SplittableRandom();
        return new FakeWorker((parts, connection) -> {
            for (FakeWorker.ReceivedPart part : parts) {
                synchronized (random) {
                    if (random.nextInt(SILENT_ONE_IN) > 0) {
                        var unused = reactions.schedule(
                                () -> fail(part, connection), random.nextInt(MAX_REACTION_MS), TimeUnit.MILLISECONDS);
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
