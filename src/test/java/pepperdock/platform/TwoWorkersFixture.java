package pepperdock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import pepperdock.codec.frame.FrameEncoder;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.core.Part;
import pepperdock.core.Query;
import pepperdock.core.QueryListener;
import pepperdock.core.QueryRequest;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.transport.EventLoop;

/**
 * A gatherer with two workers. The first holds {@link #DAMAGED_SHARD}, and the test writes what it answers on its first
 * connection; on later connections it answers soundly at once. The second holds {@link #SOUND_SHARD} and answers soundly,
 * after {@link #releaseSoundWorker}: until then, queries for both shards stay open.
 */
final class TwoWorkersFixture implements AutoCloseable {

    static final int DAMAGED_SHARD = 0;
    static final int SOUND_SHARD = 2;
    /** The index of the class without repeats. */
    static final int NON_IDEMPOTENT_CLASS = 1;

    private static final int TIMEOUT_S = 30;

    private final EventLoop loop = new EventLoop(1000, 1 << 18);
    private final Gatherer gatherer;
    private final FakeWorker damaged;
    private final FakeWorker sound;
    private final AtomicReference<Socket> firstConnection = new AtomicReference<>();
    private final BlockingQueue<String> idsOnFirstConnection = new LinkedBlockingQueue<>();
    private final Map<String, AtomicInteger> sendsByPart = new ConcurrentHashMap<>();
    private final Set<String> nonIdempotentParts = ConcurrentHashMap.newKeySet();
    private final CountDownLatch soundReleased = new CountDownLatch(1);
    private final BlockingQueue<Ended> ended = new LinkedBlockingQueue<>();

    /** A final answer: how the query ended, and the values of its parts by part id. */
    record Ended(String id, boolean answered, Map<String, String> values) {}

    /** Creates the fixture; no time limit but that of whole queries ends anything within {@code connectTimeoutS}. */
    TwoWorkersFixture(double connectTimeoutS) throws IOException {
        DeploymentSettings settings = TestDeploymentSettings.with(TestDeploymentSettings.SETTINGS
                .replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":" + connectTimeoutS)
                .replace("\"DeadlineS\":6,\"Effect\":\"read_like\"", "\"DeadlineS\":6,\"Effect\":\"non_idempotent\"")
                .replace("\"MayDuplicate\":true", "\"MayDuplicate\":false"));
        damaged = new FakeWorker(this::onDamagedWorkerCall);
        sound = new FakeWorker((parts, connection) -> {
            awaitRelease();
            sendSoundResults(parts, connection);
        });
        FrameBackend backend = new FrameBackend(loop, settings);
        gatherer = new Gatherer(settings.scheduler(), 3, loop, backend, () -> {});
        backend.start(gatherer);
        loop.execute(() -> gatherer.onEndpointList(
                EndpointListKind.COMPLETE,
                List.of(
                        PlatformFixtures.endpoint("damaged", DAMAGED_SHARD, damaged.address()),
                        PlatformFixtures.endpoint("sound", SOUND_SHARD, sound.address()))));
    }

    private void onDamagedWorkerCall(List<FakeWorker.ReceivedPart> parts, Socket connection) throws IOException {
        for (FakeWorker.ReceivedPart part : parts) {
            sendsByPart.computeIfAbsent(part.id(), id -> new AtomicInteger()).incrementAndGet();
        }
        firstConnection.compareAndSet(null, connection);
        if (firstConnection.get() == connection) {
            parts.forEach(part -> idsOnFirstConnection.add(part.id()));
        } else {
            sendSoundResults(parts, connection);
        }
    }

    private void awaitRelease() {
        try {
            soundReleased.await(TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sendSoundResults(List<FakeWorker.ReceivedPart> parts, Socket connection) throws IOException {
        for (FakeWorker.ReceivedPart part : parts) {
            FakeWorker.sendResult(connection, part.id() + " good 17 qps=3", valueOf(part.id()));
        }
    }

    /** Returns the value that the workers make for a part: text of a length that depends on the id. */
    static String valueOf(String partId) {
        return "the value \u00e9\u20ac of " + partId + " " + "x".repeat(Math.floorMod(partId.hashCode(), 40)) + " end";
    }

    /** Returns the sound result of a part, as a frame. */
    static byte[] result(String partId) {
        return frame(partId + " good 17 qps=3\n" + valueOf(partId));
    }

    /** Returns a result frame with this payload. */
    static byte[] frame(String payload) {
        return FrameEncoder.encode('q', payload.getBytes(StandardCharsets.UTF_8));
    }

    /** Submits a query for these shards and returns the id of its part at the first worker. */
    String submit(String id, int queryClass, int... shards) throws InterruptedException {
        List<QueryRequest.RequestedPart> parts = IntStream.of(shards)
                .mapToObj(shard -> new QueryRequest.RequestedPart(shard, 1.0 / shards.length))
                .toList();
        String key = queryClass == OneWorkerFixture.KEYED_CLASS ? "k" + id : "";
        QueryRequest request = new QueryRequest(id, queryClass, key, TIMEOUT_S, parts, new byte[] {'t'}, null);
        if (queryClass == NON_IDEMPOTENT_CLASS) {
            nonIdempotentParts.add(id + '.' + DAMAGED_SHARD);
        }
        PlatformFixtures.onLoop(loop, () -> gatherer.submit(request, new Recorder()));
        return id + '.' + DAMAGED_SHARD;
    }

    /** Awaits that this many parts have arrived on the first worker's first connection; returns their ids. */
    List<String> awaitParts(int count) throws InterruptedException {
        List<String> ids = new ArrayList<>();
        while (ids.size() < count) {
            String id = idsOnFirstConnection.poll(TIMEOUT_S, TimeUnit.SECONDS);
            assertTrue(id != null, "a part was not sent on the first connection");
            ids.add(id);
        }
        return ids;
    }

    /** Returns the connection on which the test acts as the first worker. */
    Socket connection() {
        return firstConnection.get();
    }

    /** Writes pieces, and awaits after each that the gatherer has read it; ends when the gatherer has closed. */
    void deliver(List<byte[]> pieces) throws InterruptedException {
        deliver(pieces, 1);
    }

    /** Like {@link #deliver(List)}, but awaits only after every {@code awaitedEvery}th piece, and after the last one. */
    void deliver(List<byte[]> pieces, int awaitedEvery) throws InterruptedException {
        try {
            for (int i = 0; i < pieces.size(); i++) {
                connection().getOutputStream().write(pieces.get(i));
                if (i % awaitedEvery == 0) {
                    awaitTurns();
                }
            }
        } catch (IOException e) {
            // The gatherer has closed the connection.
        }
        awaitTurns();
    }

    /** Awaits that the loop has handled the input that has arrived by now, and has closed the batch. */
    private void awaitTurns() throws InterruptedException {
        CountDownLatch turns = new CountDownLatch(1);
        loop.execute(() -> loop.after(0.006, () -> loop.execute(turns::countDown)));
        assertTrue(turns.await(TIMEOUT_S, TimeUnit.SECONDS));
    }

    /** Lets the second worker answer. */
    void releaseSoundWorker() {
        soundReleased.countDown();
    }

    /** Awaits the next final answer, and checks that each of its values is the one made for its part. */
    Ended awaitEnd() throws InterruptedException {
        Ended next = ended.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertTrue(next != null, "no final answer in time");
        next.values().forEach((partId, value) -> assertEquals(valueOf(partId), value, "served for " + partId));
        return next;
    }

    /** Returns how often a part was sent to the first worker. */
    int sends(String partId) {
        return sendsByPart.get(partId).get();
    }

    /** Returns the parts that were sent to the first worker more than once although they must not be repeated. */
    List<String> nonIdempotentPartsSentTwice() {
        return nonIdempotentParts.stream().filter(id -> sends(id) > 1).toList();
    }

    /** Returns the number of retracted results, and of those that were retracted too late. */
    List<Long> retractions() throws InterruptedException {
        return PlatformFixtures.onLoop(
                loop,
                () -> List.of(
                        gatherer.metrics().retractedResults(),
                        gatherer.metrics().resultsRetractedTooLate()));
    }

    @Override
    public void close() throws IOException {
        releaseSoundWorker();
        loop.close();
        damaged.close();
        sound.close();
    }

    private final class Recorder implements QueryListener {

        @Override
        public void onAnswer(Query query, boolean complete) {
            Map<String, String> values = new TreeMap<>();
            for (Part part : query.parts()) {
                if (part.value() != null) {
                    values.put(
                            query.request().id() + '.' + part.shard(),
                            new String(part.value(), StandardCharsets.UTF_8));
                }
            }
            assertEquals(complete, values.size() == query.parts().size());
            ended.add(new Ended(query.request().id(), true, values));
        }

        @Override
        public void onRejected(Query query, double retryAfterS) {
            ended.add(new Ended(query.request().id(), false, Map.of()));
        }

        @Override
        public void onFailed(Query query, boolean overdue) {
            ended.add(new Ended(query.request().id(), false, Map.of()));
        }
    }
}
