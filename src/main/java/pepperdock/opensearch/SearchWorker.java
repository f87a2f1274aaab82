package pepperdock.opensearch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import pepperdock.codec.http.HttpMessage;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.OpenSearchConfig;
import pepperdock.core.Attempt;
import pepperdock.core.Gatherer;
import pepperdock.core.LogRateLimiter;
import pepperdock.core.PooledBackend;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.LoadReport;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpClient;

/** One worker that speaks the OpenSearch-style API; each request is for one shard, over a few kept connections. */
final class SearchWorker implements PooledBackend.PooledWorker {

    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    private static final double IDLE_TIMEOUT_SHARE = 0.8;
    /** Time limit for a search that is no longer awaited to return its scroll context, and for freeing the context. */
    private static final double RELEASE_TIMEOUT_S = 5;

    private static final double HEALTH_CHECK_TIMEOUT_S = 0.25;

    private final String id;
    private final String address;
    private final WorkerRequests requests;
    private final EventLoop loop;
    private final DeploymentSettings settings;
    private final OpenSearchConfig config;
    private final Gatherer gatherer;
    private final LogRateLimiter unusableAnswerLog;
    private final List<ConnectionSlot> slots = new ArrayList<>();
    private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
    private boolean acceptingCalls = true;
    private long lastRequestNumber;

    SearchWorker(
            String id,
            String address,
            EventLoop loop,
            DeploymentSettings settings,
            OpenSearchConfig config,
            Gatherer gatherer,
            LogRateLimiter unusableAnswerLog) {
        this.id = id;
        this.address = address;
        requests = new WorkerRequests(address);
        this.loop = loop;
        this.settings = settings;
        this.config = config;
        this.gatherer = gatherer;
        this.unusableAnswerLog = unusableAnswerLog;
    }

    @Override
    public String address() {
        return address;
    }

    @Override
    public boolean isUnused() {
        return queue.isEmpty() && slots.stream().noneMatch(slot -> slot.http.isBusy());
    }

    /** Ends requests that wait for a connection if the worker no longer accepts calls: they were never sent. */
    @Override
    public void setAcceptingCalls(boolean accepting) {
        acceptingCalls = accepting;
        if (!acceptingCalls) {
            List<QueuedRequest> abandoned =
                    queue.stream().filter(QueuedRequest::onlyWhileAccepting).toList();
            queue.removeAll(abandoned);
            abandoned.forEach(queued -> queued.listener().onFailure(null));
            // Requests that wait for a new connection end too: they would be written once it is established, which may
            // be after the time to stop.
            List.copyOf(slots).stream()
                    .filter(slot -> slot.http.isConnecting() && slot.onlyWhileAccepting)
                    .forEach(slot -> {
                        slot.http.close();
                        slot.onNotSent.run();
                    });
            closeIdleConnections();
        }
    }

    @Override
    public void closeIdleConnections() {
        slots.removeIf(slot -> {
            if (!slot.http.isBusy()) {
                slot.http.close();
            }
            return !slot.http.isBusy();
        });
    }

    @Override
    public void retire() {
        setAcceptingCalls(false);
    }

    @Override
    public void send(List<Attempt> attempts) {
        attempts.forEach(this::send);
    }

    private void send(Attempt attempt) {
        byte[] request = requests.attempt(attempt, loop.now());
        enqueue(
                WorkerRequests.requestId(attempt),
                request,
                attempt.deadline(),
                true,
                () -> !gatherer.retainStartable(List.of(attempt)).isEmpty(),
                attempt,
                new HttpClient.ResponseListener() {
                    @Override
                    public void onResponse(HttpMessage message) {
                        gatherer.onAttemptWritten(attempt);
                        onAttemptResponse(attempt, message);
                    }

                    @Override
                    public void onFailure(HttpClient.Failure failure) {
                        // A null failure means that the worker accepts no calls, and the request was never sent.
                        AttemptOutcome outcome = failure == null
                                ? AttemptOutcome.NOT_SENT
                                : switch (failure) {
                                    case NOT_SENT -> AttemptOutcome.CONNECT_FAILED;
                                    case CONNECTION_LOST -> AttemptOutcome.RESET;
                                    case TIMED_OUT -> AttemptOutcome.TIMEOUT;
                                };
                        if (failure == HttpClient.Failure.CONNECTION_LOST || failure == HttpClient.Failure.TIMED_OUT) {
                            gatherer.onAttemptWritten(attempt);
                        }
                        gatherer.onAttemptEnded(attempt, outcome, LoadReport.NONE, null);
                    }
                });
    }

    private void onAttemptResponse(Attempt attempt, HttpMessage message) {
        AttemptAnswer answer = AttemptAnswer.of(attempt, message);
        if (answer.defect() != null) {
            unusableAnswerLog.log(
                    System.Logger.Level.INFO,
                    () -> "worker " + id + " returned an unusable answer for shard "
                            + attempt.part().shard() + ": " + answer.defect());
        }
        gatherer.onAttemptEnded(attempt, answer.outcome(), LoadReport.NONE, answer.value());
    }

    /**
     * Stops waiting for an attempt. This API cancels a search when its connection is closed. A search that opens a
     * scroll is allowed to finish instead, as only its answer names the context that has to be freed.
     */
    @Override
    public void cancel(Attempt attempt) {
        queue.removeIf(queued -> queued.listener() instanceof AttemptListener attemptListener
                && attemptListener.attempt().hasEnded());
        boolean scroll = attempt.part().query().request().frontContext() instanceof SearchRequest searchRequest
                && searchRequest.isScroll();
        for (ConnectionSlot slot : slots) {
            if (slot.attempt == attempt && !scroll) {
                slot.attempt = null;
                slot.http.close();
            }
        }
        slots.removeIf(slot -> !slot.http.isBusy() && !slot.http.isConnected());
        startQueued();
    }

    /** Requests a scroll's next page; {@code stillWanted} is asked again if the request waited for a connection. */
    void nextPage(
            int shard,
            String scrollId,
            double keepAliveS,
            double timeoutS,
            BooleanSupplier stillWanted,
            Consumer<ShardAnswer> listener) {
        String requestId = nextRequestId();
        enqueue(
                requestId,
                requests.nextPage(scrollId, keepAliveS, requestId),
                loop.now() + timeoutS,
                true,
                stillWanted,
                null,
                new HttpClient.ResponseListener() {
                    @Override
                    public void onResponse(HttpMessage message) {
                        ShardAnswer page = null;
                        try {
                            page = message.status() == 200 ? ShardAnswer.parseStrictly(shard, message.body()) : null;
                        } catch (RuntimeException e) {
                            unusableAnswerLog.log(
                                    System.Logger.Level.INFO,
                                    () -> "worker " + id + " returned an unusable page of a scroll: " + e.getMessage());
                        }
                        listener.accept(page);
                    }

                    @Override
                    public void onFailure(HttpClient.Failure failure) {
                        listener.accept(null);
                    }
                });
    }

    void releaseScroll(String scrollId) {
        String requestId = nextRequestId();
        enqueue(
                requestId,
                requests.freeScroll(scrollId, requestId),
                loop.now() + RELEASE_TIMEOUT_S,
                false,
                () -> true,
                null,
                new HttpClient.ResponseListener() {
                    @Override
                    public void onResponse(HttpMessage message) {}

                    @Override
                    public void onFailure(HttpClient.Failure failure) {
                        unusableAnswerLog.log(
                                System.Logger.Level.INFO,
                                () -> "worker " + id
                                        + " may not have freed a scroll context: no response; the context will expire");
                    }
                });
    }

    @Override
    public void checkHealth() {
        double sentAt = loop.now();
        String requestId = nextRequestId();
        enqueue(
                requestId,
                requests.healthCheck(requestId),
                sentAt + HEALTH_CHECK_TIMEOUT_S,
                true,
                () -> true,
                null,
                new HttpClient.ResponseListener() {
                    @Override
                    public void onResponse(HttpMessage message) {
                        gatherer.onHealthCheckEnded(
                                id,
                                message.status() == 200 ? AttemptOutcome.OK : AttemptOutcome.ERROR,
                                loop.now() - sentAt,
                                LoadReport.NONE);
                    }

                    @Override
                    public void onFailure(HttpClient.Failure failure) {
                        gatherer.onHealthCheckEnded(id, AttemptOutcome.TIMEOUT, loop.now() - sentAt, LoadReport.NONE);
                    }
                });
    }

    /** Returns an id for a request that is not an attempt, so that a response to another request can be told apart. */
    private String nextRequestId() {
        return "request-" + ++lastRequestNumber;
    }

    private void enqueue(
            String requestId,
            byte[] request,
            double deadline,
            boolean onlyWhileAccepting,
            BooleanSupplier stillWanted,
            Attempt attempt,
            HttpClient.ResponseListener listener) {
        QueuedRequest queued =
                new QueuedRequest(requestId, request, deadline, onlyWhileAccepting, stillWanted, listener);
        if (onlyWhileAccepting && !acceptingCalls) {
            loop.execute(() -> listener.onFailure(null));
            return;
        }
        ConnectionSlot slot = freeSlot();
        if (slot == null) {
            // Queued here rather than at the worker: a request that is abandoned meanwhile is then never sent.
            queue.addLast(new QueuedRequest(
                    requestId,
                    request,
                    deadline,
                    onlyWhileAccepting,
                    stillWanted,
                    attempt == null ? listener : new AttemptListener(attempt, listener)));
        } else {
            start(slot, queued, attempt);
        }
    }

    /** Returns a slot without a request, or a new one while their number allows it, or null. */
    private ConnectionSlot freeSlot() {
        for (ConnectionSlot slot : slots) {
            if (!slot.http.isBusy()) {
                return slot;
            }
        }
        if (slots.size() >= config.connectionsPerWorker()) {
            return null;
        }
        try {
            ConnectionSlot added = new ConnectionSlot(new HttpClient(
                    loop, Config.parseAddress("dial", address), settings.connectTimeoutS(), MAX_RESPONSE_BYTES));
            slots.add(added);
            return added;
        } catch (ConfigException e) {
            unusableAnswerLog.log(
                    System.Logger.Level.WARNING, () -> "worker " + id + " has an unusable address: " + e.getMessage());
            return null;
        }
    }

    private void start(ConnectionSlot slot, QueuedRequest queued, Attempt attempt) {
        slot.attempt = attempt;
        slot.onlyWhileAccepting = queued.onlyWhileAccepting();
        slot.onNotSent = () -> {
            releaseSlot(slot);
            queued.listener().onFailure(null);
        };
        boolean scroll = attempt != null
                && attempt.part().query().request().frontContext() instanceof SearchRequest searchRequest
                && searchRequest.isScroll();
        double timeoutS = Math.max(0.001, queued.deadline() - loop.now()) + (scroll ? RELEASE_TIMEOUT_S : 0);
        slot.http.send(queued.request(), timeoutS, queued.stillWanted(), new HttpClient.ResponseListener() {
            @Override
            public void onResponse(HttpMessage message) {
                if (!WorkerRequests.isResponseTo(queued.id(), message)) {
                    // The responses on this connection are out of step with its requests.
                    slot.http.close();
                    onFailure(HttpClient.Failure.CONNECTION_LOST);
                    return;
                }
                endRequest(slot, () -> queued.listener().onResponse(message));
            }

            @Override
            public void onFailure(HttpClient.Failure failure) {
                endRequest(slot, () -> queued.listener().onFailure(failure));
            }
        });
    }

    /** Frees a connection and reports the end of its request; the requests that wait go on whatever happens there. */
    private void endRequest(ConnectionSlot slot, Runnable report) {
        releaseSlot(slot);
        try {
            report.run();
        } finally {
            startQueued();
        }
    }

    private void releaseSlot(ConnectionSlot slot) {
        slot.attempt = null;
        slot.usedAt = loop.now();
        double limit = settings.idleTimeoutS() * IDLE_TIMEOUT_SHARE;
        loop.after(limit, () -> {
            if (!slot.http.isBusy() && loop.now() - slot.usedAt >= limit * 0.99) {
                slot.http.close();
                slots.remove(slot);
            }
        });
    }

    /**
     * Starts queued requests while there are free connections. Asking whether a request is still wanted may cancel
     * others, which calls this method again: a free connection is therefore looked up again afterwards.
     */
    private void startQueued() {
        while (!queue.isEmpty() && freeSlot() != null) {
            QueuedRequest queued = queue.removeFirst();
            if (!queued.stillWanted().getAsBoolean()) {
                queued.listener().onFailure(null);
                continue;
            }
            ConnectionSlot slot = freeSlot();
            if (slot == null) {
                queue.addFirst(queued);
                return;
            }
            start(
                    slot,
                    queued,
                    queued.listener() instanceof AttemptListener attemptListener ? attemptListener.attempt() : null);
        }
    }
}
