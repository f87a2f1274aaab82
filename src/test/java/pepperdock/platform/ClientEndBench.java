package pepperdock.platform;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import pepperdock.codec.frame.Frames;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.Sites;
import pepperdock.core.Attempt;
import pepperdock.core.Backend;
import pepperdock.core.Gatherer;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.transport.HttpServer;
import pepperdock.transport.Loop;

/**
 * Measures how soon a client's end is noticed, and what begins after it: clients ask for one part that its workers answer
 * badly or not at all, so that there are further attempts, and go after 0 to 150 ms. A measuring program, not a test: its
 * figures are those of the machine's clock.
 *
 * <p>Arguments: queries, and by how many milliseconds of work the loop is held up in each turn, with {@link #PAUSE_MS}
 * between.
 */
final class ClientEndBench {

    private static final int CLIENTS = 8;
    /** Of each client's queries the first are not counted: the program loads its classes then, before it serves in service. */
    private static final int COLD = 15;

    private static final int LEAVE_MS = 150;
    private static final int PAUSE_MS = 10;
    /** What the operators count as later. */
    private static final long LATE_NANOS = 100_000_000;

    private final Map<String, Long> closed = new ConcurrentHashMap<>();
    private final Map<String, Long> noticed = new ConcurrentHashMap<>();
    private final List<Begun> attempts = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService answers = new ScheduledThreadPoolExecutor(1);

    /** An attempt that was passed on to its connection, and when. */
    private record Begun(String query, long at) {}

    public static void main(String[] args) throws Exception {
        new ClientEndBench().run(Integer.parseInt(args[0]), Integer.parseInt(args[1]));
        System.exit(0);
    }

    private void run(int queries, int busyMs) throws Exception {
        DeploymentSettings site = Sites.with(Sites.SETTINGS.replace("\"MostHeld\":40", "\"MostHeld\":400"));
        Loop loop = new Loop(500, 1 << 18);
        WorkerPool pool = new WorkerPool(loop, site);
        Gatherer core = new Gatherer(site.module(), 3, loop, recording(pool), () -> {});
        pool.start(core);
        HttpServer server = new HttpServer(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                1 << 16,
                () -> 300,
                noticing(new Front(site, core, () -> true)));
        ServerSocket[] workers = {worker(), worker()};
        loop.execute(() ->
                core.onEndpointList(EndpointListKind.CACHED, List.of(host(0, workers[0]), host(1, workers[1]))));
        if (busyMs > 0) {
            busy(loop, busyMs);
        }
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            int no = i;
            clients[i] = new Thread(() -> client(no, queries / CLIENTS, server.address()));
            clients[i].start();
        }
        for (Thread t : clients) {
            t.join();
        }
        Thread.sleep(1000);
        double[] ms = closed.keySet().stream()
                .filter(noticed::containsKey)
                .mapToDouble(id -> Math.max(0, noticed.get(id) - closed.get(id)) / 1e6)
                .sorted()
                .toArray();
        System.out.printf(
                Locale.ROOT,
                "held up %d ms a turn: %d clients left, %d with a request in hand, noticed after %.2f ms (median), %.2f (99 of"
                        + " 100), %.2f (worst); %d attempts, begun after the close %d, later than 0.1 s %d%n",
                busyMs,
                closed.size(),
                ms.length,
                ms[ms.length / 2],
                ms[ms.length * 99 / 100],
                ms[ms.length - 1],
                attempts.size(),
                begunAfter(0),
                begunAfter(LATE_NANOS));
    }

    private long begunAfter(long nanos) {
        return attempts.stream()
                .filter(a -> closed.containsKey(a.query()) && a.at() - closed.get(a.query()) > nanos)
                .count();
    }

    /** Passes everything on, and keeps when attempts were. */
    private Backend recording(WorkerPool pool) {
        return new Backend() {
            @Override
            public void sendCall(String worker, List<Attempt> call) {
                long now = System.nanoTime();
                call.forEach(
                        a -> attempts.add(new Begun(a.part().query().request().id(), now)));
                pool.sendCall(worker, call);
            }

            @Override
            public void cancel(Attempt attempt) {
                pool.cancel(attempt);
            }

            @Override
            public void checkHealth(String worker) {
                pool.checkHealth(worker);
            }

            @Override
            public void closeIdleConnections(String worker) {
                pool.closeIdleConnections(worker);
            }

            @Override
            public void updateEndpoints(Map<String, WorkerEndpoint> hosts) {
                pool.updateEndpoints(hosts);
            }
        };
    }

    private static WorkerEndpoint host(int cell, ServerSocket at) {
        return new WorkerEndpoint(
                "w" + cell, "127.0.0.1:" + at.getLocalPort(), 0, 0, cell, EndpointState.HEALTHY, 1, 0);
    }

    private HttpServer.Service noticing(Front front) {
        return new HttpServer.Service() {
            @Override
            public Runnable serve(HttpMessage m, HttpServer.Reply reply) throws HttpException {
                String id = m.header("Request-Id");
                Runnable gone = front.serve(m, reply);
                return () -> {
                    noticed.put(id, System.nanoTime());
                    gone.run();
                };
            }

            @Override
            public void malformed(int status, String why, HttpServer.Reply reply) {
                front.malformed(status, why, reply);
            }
        };
    }

    private static void busy(Loop loop, int busyMs) {
        loop.after(PAUSE_MS / 1e3, () -> {
            long until = System.nanoTime() + busyMs * 1_000_000L;
            while (System.nanoTime() < until) {
                Thread.onSpinWait();
            }
            busy(loop, busyMs);
        });
    }

    private void client(int no, int count, InetSocketAddress at) {
        SplittableRandom random = new SplittableRandom(no);
        String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"x\"}";
        try {
            for (int i = 0; i < COLD + count; i++) {
                String id = "c" + no + "-" + i;
                Socket s = new Socket(at.getAddress(), at.getPort());
                s.getOutputStream()
                        .write(("POST /api HTTP/1.1\r\nRequest-Id: " + id
                                        + "\r\nRequest-Class: payout-report\r\nRequest-Timeout-Ms: 5000\r\n"
                                        + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(random.nextInt(LEAVE_MS));
                s.setSoLinger(random.nextBoolean(), 0);
                s.close();
                if (i >= COLD) {
                    closed.put(id, System.nanoTime());
                }
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private ServerSocket worker() throws IOException {
        ServerSocket at = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(() -> {
            while (true) {
                Socket s = at.accept();
                start(() -> serve(s));
            }
        });
        return at;
    }

    private void serve(Socket s) throws IOException {
        DataInputStream in = new DataInputStream(s.getInputStream());
        SplittableRandom random = new SplittableRandom();
        while (true) {
            byte[] frame = in.readNBytes(in.readInt());
            int at = 1;
            while (frame[0] == Frames.CALL && at < frame.length) {
                int end = at;
                while (frame[end] != '\n') {
                    end++;
                }
                String[] words = new String(frame, at, end - at, StandardCharsets.US_ASCII).split(" ");
                at = end + 1 + Integer.parseInt(words[3]);
                byte[] bad = Frames.frame(Frames.RESULT, (words[0] + " bad 1 -\n").getBytes(StandardCharsets.US_ASCII));
                if (random.nextInt(4) > 0) {
                    var unused = answers.schedule(() -> write(s, bad), random.nextInt(60), TimeUnit.MILLISECONDS);
                }
            }
        }
    }

    private static Void write(Socket s, byte[] bytes) throws IOException {
        s.getOutputStream().write(bytes);
        return null;
    }

    private interface Step {
        void run() throws IOException;
    }

    private static void start(Step step) {
        Thread t = new Thread(() -> {
            try {
                step.run();
            } catch (IOException e) {
                // The other side has closed.
            }
        });
        t.setDaemon(true);
        t.start();
    }
}
