package pepperdock.opensearch;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
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
import pepperdock.transport.HttpClient;
import pepperdock.transport.Loop;

/** One worker of the OpenSearch-style API: asked for one shard a request, over a few kept connections. */
final class SearchWorker implements PooledBackend.PooledWorker {

    private static final int ANSWER_MOST = 4 << 20;
    private static final double IDLE_SHARE = 0.8;
    /** How long a request that nobody awaits may still bring the context that is then freed. */
    private static final double FREE_S = 5;

    private static final double PROBE_S = 0.25;

    /** A request that waits for a connection; {@code wanted} is asked again just before it is sent. */
    private record Waiting(
            byte[] request, double until, boolean needsOpen, BooleanSupplier wanted, HttpClient.Then then) {}

    /** A kept connection, the attempt it serves, if any, and when it was last used. */
    private static final class Line {
        final HttpClient http;
        Attempt attempt;
        boolean needsOpen;
        /** Tells whose request it has that this was never sent. */
        Runnable refused;

        double usedAt;

        Line(HttpClient http) {
            this.http = http;
        }
    }

    private final String id;
    private final String dial;
    private final WorkerRequests requests;
    private final Loop loop;
    private final DeploymentSettings site;
    private final OpenSearchConfig config;
    private final Gatherer core;
    private final LogRateLimiter notes;
    private final List<Line> lines = new ArrayList<>();
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private boolean open = true;

    SearchWorker(
            String id,
            String dial,
            Loop loop,
            DeploymentSettings site,
            OpenSearchConfig config,
            Gatherer core,
            LogRateLimiter notes) {
        this.id = id;
        this.dial = dial;
        requests = new WorkerRequests(dial);
        this.loop = loop;
        this.site = site;
        this.config = config;
        this.core = core;
        this.notes = notes;
    }

    @Override
    public String address() {
        return dial;
    }

    @Override
    public boolean isUnused() {
        return waiting.isEmpty() && lines.stream().noneMatch(l -> l.http.busy());
    }

    /** Told of its state; what waits for a connection to a worker that wants nothing new never ran. */
    @Override
    public void setAcceptingCalls(boolean now) {
        open = now;
        if (!open) {
            List<Waiting> left = waiting.stream().filter(Waiting::needsOpen).toList();
            waiting.removeAll(left);
            left.forEach(w -> w.then().failed(null));
            // Written when the connection is up, which may be after the time to stop.
            List.copyOf(lines).stream()
                    .filter(l -> l.http.dialling() && l.needsOpen)
                    .forEach(l -> {
                        l.http.close();
                        l.refused.run();
                    });
            closeIdleConnections();
        }
    }

    @Override
    public void closeIdleConnections() {
        lines.removeIf(l -> {
            if (!l.http.busy()) {
                l.http.close();
            }
            return !l.http.busy();
        });
    }

    @Override
    public void retire() {
        setAcceptingCalls(false);
    }

    @Override
    public void send(List<Attempt> call) {
        call.forEach(this::send);
    }

    private void send(Attempt a) {
        byte[] request = requests.search(a, loop.now());
        ask(request, a.deadline(), true, () -> !core.retainStartable(List.of(a)).isEmpty(), a, new HttpClient.Then() {
            @Override
            public void response(HttpMessage m) {
                core.onAttemptWritten(a);
                answered(a, m);
            }

            @Override
            public void failed(HttpClient.Failure why) {
                // A null reason: the worker wants nothing new, and this was never sent.
                AttemptOutcome outcome = why == null
                        ? AttemptOutcome.NOT_SENT
                        : switch (why) {
                            case UNSENT -> AttemptOutcome.CONNECT_FAILED;
                            case BROKEN -> AttemptOutcome.RESET;
                            case TIMED_OUT -> AttemptOutcome.TIMEOUT;
                        };
                if (why == HttpClient.Failure.BROKEN || why == HttpClient.Failure.TIMED_OUT) {
                    core.onAttemptWritten(a);
                }
                core.onAttemptEnded(a, outcome, LoadReport.NONE, null);
            }
        });
    }

    private void answered(Attempt a, HttpMessage m) {
        SearchRequest wanted = a.part().query().request().frontContext() instanceof SearchRequest r ? r : null;
        boolean update = wanted != null && wanted.update();
        byte[] value = null;
        AttemptOutcome outcome = m.status() == 429 ? AttemptOutcome.OVERLOADED : AttemptOutcome.ERROR;
        if (m.status() == 200 || update && m.status() == 201) {
            try {
                if (update) {
                    shardsSucceeded(m.body());
                } else {
                    ShardAnswer.strict(a.part().shard(), m.body());
                }
                value = m.body();
                outcome = AttemptOutcome.OK;
            } catch (RuntimeException e) {
                notes.note(
                        System.Logger.Level.INFO,
                        () -> "worker " + id + ", shard " + a.part().shard() + ": " + e.getMessage());
            }
        }
        core.onAttemptEnded(a, outcome, LoadReport.NONE, value);
    }

    /** An update that its primary did not take is an error, whatever the status says. */
    private static void shardsSucceeded(byte[] body) {
        JsonObject shards = JsonParser.parseString(new String(body, StandardCharsets.UTF_8))
                .getAsJsonObject()
                .getAsJsonObject("_shards");
        if (shards != null
                && shards.get("successful").getAsInt() < 1
                && shards.get("total").getAsInt() > 0) {
            throw new IllegalArgumentException("no shard took the update");
        }
    }

    /**
     * Ceases to wait. Closing the connection is how this API cancels a search; one that opens a scroll is let finish
     * instead, as only its answer names the context that has to be freed.
     */
    @Override
    public void cancel(Attempt a) {
        waiting.removeIf(w -> w.then() instanceof Bound b && b.attempt().hasEnded());
        boolean scroll = a.part().query().request().frontContext() instanceof SearchRequest r && r.scroll();
        for (Line l : lines) {
            if (l.attempt == a && !scroll) {
                l.attempt = null;
                l.http.close();
            }
        }
        lines.removeIf(l -> !l.http.busy() && !l.http.connected());
        next();
    }

    /** {@code wanted} is asked again where the request has waited for a connection. */
    void nextPage(
            int shard,
            String scrollId,
            double keepS,
            double timeoutS,
            BooleanSupplier wanted,
            Consumer<ShardAnswer> then) {
        ask(requests.nextPage(scrollId, keepS), loop.now() + timeoutS, true, wanted, null, new HttpClient.Then() {
            @Override
            public void response(HttpMessage m) {
                ShardAnswer page = null;
                try {
                    page = m.status() == 200 ? ShardAnswer.strict(shard, m.body()) : null;
                } catch (RuntimeException e) {
                    notes.note(System.Logger.Level.INFO, () -> "worker " + id + ", scroll: " + e.getMessage());
                }
                then.accept(page);
            }

            @Override
            public void failed(HttpClient.Failure why) {
                then.accept(null);
            }
        });
    }

    void free(String scrollId) {
        ask(requests.freeScroll(scrollId), loop.now() + FREE_S, false, () -> true, null, new HttpClient.Then() {
            @Override
            public void response(HttpMessage m) {}

            @Override
            public void failed(HttpClient.Failure why) {
                notes.note(
                        System.Logger.Level.INFO,
                        () -> "worker " + id + " was not told to free a scroll; it will expire");
            }
        });
    }

    @Override
    public void checkHealth() {
        double at = loop.now();
        ask(requests.healthCheck(), at + PROBE_S, true, () -> true, null, new HttpClient.Then() {
            @Override
            public void response(HttpMessage m) {
                core.onHealthCheckEnded(
                        id,
                        m.status() == 200 ? AttemptOutcome.OK : AttemptOutcome.ERROR,
                        loop.now() - at,
                        LoadReport.NONE);
            }

            @Override
            public void failed(HttpClient.Failure why) {
                core.onHealthCheckEnded(id, AttemptOutcome.TIMEOUT, loop.now() - at, LoadReport.NONE);
            }
        });
    }

    private void ask(
            byte[] request,
            double until,
            boolean needsOpen,
            BooleanSupplier wanted,
            Attempt attempt,
            HttpClient.Then then) {
        Waiting w = new Waiting(request, until, needsOpen, wanted, then);
        if (needsOpen && !open) {
            loop.execute(() -> then.failed(null));
            return;
        }
        Line line = freeLine();
        if (line == null) {
            // Kept in a queue here rather than in the worker's: what is given up meanwhile is then never sent.
            waiting.addLast(
                    new Waiting(request, until, needsOpen, wanted, attempt == null ? then : new Bound(attempt, then)));
        } else {
            start(line, w, attempt);
        }
    }

    /** An answer's taker that remembers its attempt while it waits for a connection. */
    private record Bound(Attempt attempt, HttpClient.Then then) implements HttpClient.Then {
        @Override
        public void response(HttpMessage m) {
            then.response(m);
        }

        @Override
        public void failed(HttpClient.Failure why) {
            then.failed(why);
        }
    }

    private Line freeLine() {
        for (Line l : lines) {
            if (!l.http.busy()) {
                return l;
            }
        }
        if (lines.size() >= config.connectionsPerWorker()) {
            return null;
        }
        try {
            Line made = new Line(new HttpClient(loop, Config.address("dial", dial), site.dialS(), ANSWER_MOST));
            lines.add(made);
            return made;
        } catch (ConfigException e) {
            notes.note(System.Logger.Level.WARNING, () -> "worker " + id + ": " + e.getMessage());
            return null;
        }
    }

    private void start(Line line, Waiting w, Attempt attempt) {
        line.attempt = attempt;
        line.needsOpen = w.needsOpen();
        line.refused = () -> {
            done(line);
            w.then().failed(null);
        };
        boolean scroll = attempt != null
                && attempt.part().query().request().frontContext() instanceof SearchRequest r
                && r.scroll();
        double most = Math.max(0.001, w.until() - loop.now()) + (scroll ? FREE_S : 0);
        line.http.ask(w.request(), most, w.wanted(), new HttpClient.Then() {
            @Override
            public void response(HttpMessage m) {
                done(line);
                w.then().response(m);
                next();
            }

            @Override
            public void failed(HttpClient.Failure why) {
                done(line);
                w.then().failed(why);
                next();
            }
        });
    }

    private void done(Line line) {
        line.attempt = null;
        line.usedAt = loop.now();
        double limit = site.idleS() * IDLE_SHARE;
        loop.after(limit, () -> {
            if (!line.http.busy() && loop.now() - line.usedAt >= limit * 0.99) {
                line.http.close();
                lines.remove(line);
            }
        });
    }

    /** Asked whether it is wanted, a request may have others called off, which calls this anew: a line is taken after it. */
    private void next() {
        while (!waiting.isEmpty() && freeLine() != null) {
            Waiting w = waiting.removeFirst();
            if (!w.wanted().getAsBoolean()) {
                w.then().failed(null);
                continue;
            }
            Line line = freeLine();
            if (line == null) {
                waiting.addFirst(w);
                return;
            }
            start(line, w, w.then() instanceof Bound b ? b.attempt() : null);
        }
    }
}
