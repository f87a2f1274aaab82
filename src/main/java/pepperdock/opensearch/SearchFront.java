package pepperdock.opensearch;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.config.OpenSearchConfig;
import pepperdock.config.Site;
import pepperdock.core.Clock;
import pepperdock.core.Gatherer;
import pepperdock.core.Part;
import pepperdock.core.Query;
import pepperdock.core.QueryListener;
import pepperdock.core.QueryRequest;
import pepperdock.opensearch.Replies.Missing;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.QueryClass;
import pepperdock.transport.HttpServer;

/** The OpenSearch-style front: searches, scrolls and updates, on the same core as the platform's front. */
public final class SearchFront implements HttpServer.Service {

    private static final double EPS = 1e-4;

    private final Gatherer core;
    private final Clock clock;
    private final SearchBackend backend;
    private RequestReader reader;
    private final Scrolls scrolls;
    private int opening;
    private final int scrollsMost;

    /** {@code backend} is null where workers speak another protocol; there are no scrolls then. */
    public SearchFront(Site site, OpenSearchConfig config, Gatherer core, Clock clock, SearchBackend backend) {
        this.core = core;
        this.clock = clock;
        this.backend = backend;
        reader = new RequestReader(site, config);
        scrollsMost = config.scrollContexts();
        scrolls = new Scrolls(clock, (worker, id) -> backend.free(worker, id), scrollsMost);
    }

    /** Other settings, and classes of the indices, for searches from now on. */
    public void use(Site site, OpenSearchConfig config) {
        reader = new RequestReader(site, config);
    }

    /** How many scrolls are open. */
    public int openScrolls() {
        return scrolls.size();
    }

    @Override
    public void malformed(int status, String why, HttpServer.Reply reply) {
        Replies.error(reply, status, status == 500 ? "exception" : "illegal_argument_exception", why, "");
    }

    @Override
    public Runnable serve(HttpMessage m, HttpServer.Reply reply) throws HttpException {
        try {
            String path = m.path();
            if (path.equals("/")) {
                allow(m, "GET", "HEAD");
                JsonObject body = new JsonObject();
                body.addProperty("name", "pepperdock");
                body.addProperty("tagline", "OpenSearch-style queries over sharded ledger nodes");
                Replies.ok(reply, body);
            } else if (path.equals("/_search/scroll") || path.startsWith("/_search/scroll/")) {
                allow(m, "POST", "GET", "DELETE");
                return m.method().equals("DELETE") ? clear(m, reply) : scroll(m, reply);
            } else if (path.matches("/[^/_][^/]*/_search")) {
                allow(m, "POST", "GET");
                return search(m, reply);
            } else if (path.matches("/[^/_][^/]*/_update/.+")) {
                allow(m, "POST");
                Query q = core.submit(reader.update(m), new UpdateClient(reply));
                return () -> core.onClientGone(q);
            } else {
                throw new ApiException(404, "resource_not_found_exception", "no handler for [" + path + "]");
            }
        } catch (ApiException e) {
            Replies.error(reply, e.status(), e.type(), e.getMessage(), "");
        }
        return () -> {};
    }

    private static void allow(HttpMessage m, String... methods) throws ApiException {
        if (!List.of(methods).contains(m.method())) {
            throw new ApiException(405, "method_not_allowed_exception", "allowed: " + String.join(", ", methods));
        }
    }

    // ---- Searches ------------------------------------------------------------

    private Runnable search(HttpMessage m, HttpServer.Reply reply) throws ApiException {
        QueryRequest ask = reader.search(m);
        SearchRequest request = (SearchRequest) ask.frontContext();
        if (request.scroll()) {
            if (backend == null) {
                throw ApiException.illegal("there are no scrolls on this deployment");
            }
            if (scrolls.size() + opening >= scrollsMost) {
                throw new ApiException(
                        429, "rejected_execution_exception", "too many scroll contexts, at most " + scrollsMost);
            }
            opening++;
        }
        boolean partial = !"false".equals(m.parameter("allow_partial_search_results"));
        SearchClient client = new SearchClient(reply, request, clock.now(), partial);
        Query q = core.submit(ask, client);
        return () -> {
            core.onClientGone(q);
            client.closed(q);
        };
    }

    /** A search has ended without opening a scroll: contexts that its parts opened are let go. */
    private void free(SearchRequest request, Query q) {
        if (request.scroll()) {
            for (Part p : q.parts()) {
                if (p.value() != null) {
                    String id = ShardAnswer.lenient(p.shard(), request.index(), p.value())
                            .scrollId();
                    if (id != null) {
                        backend.free(p.servedBy(), id);
                    }
                }
            }
        }
    }

    /** Words the core's one final answer to a search. */
    private final class SearchClient implements QueryListener {
        private final HttpServer.Reply reply;
        private final SearchRequest request;
        private final double since;
        private final boolean partial;
        private boolean over;

        SearchClient(HttpServer.Reply reply, SearchRequest request, double since, boolean partial) {
            this.reply = reply;
            this.request = request;
            this.since = since;
            this.partial = partial;
        }

        /** No longer about to open a scroll; counted once, however it ended. */
        private boolean end() {
            boolean first = !over;
            over = true;
            opening -= first && request.scroll() ? 1 : 0;
            return first;
        }

        private void closed(Query q) {
            if (end()) {
                free(request, q);
            }
        }

        @Override
        public void onAnswer(Query q, boolean whole) {
            List<Missing> missing = new ArrayList<>();
            List<Scrolls.Shard> shards = new ArrayList<>();
            boolean timedOut = false;
            long total = 0;
            for (Part p : q.parts()) {
                if (p.value() == null) {
                    missing.add(missing(p));
                    timedOut |= overdue(p);
                    continue;
                }
                ShardAnswer a = ShardAnswer.lenient(p.shard(), request.index(), p.value());
                Scrolls.Shard s = new Scrolls.Shard(p.shard(), p.weight(), p.servedBy());
                s.buffer.addAll(a.hits());
                s.context = a.scrollId();
                total += a.total();
                shards.add(s);
            }
            if (!partial && !missing.isEmpty()) {
                closed(q);
                Replies.error(
                        reply,
                        timedOut ? 504 : 500,
                        "search_phase_execution_exception",
                        "partial shards failure, and partial results are not allowed",
                        "");
                return;
            }
            Scrolls.Scroll s;
            if (request.scroll()) {
                end();
                s = scrolls.open(request, q.queryClass(), shards, missing, total);
                List<Hit> page = s.page();
                Replies.ok(
                        reply,
                        Replies.search(
                                request.index(),
                                tookMs(since),
                                timedOut,
                                q.parts().size(),
                                missing,
                                total,
                                page,
                                s.id));
                return;
            }
            List<Hit> hits = shards.stream()
                    .flatMap(x -> x.buffer.stream())
                    .sorted(request.order())
                    .skip(request.from())
                    .limit(request.size())
                    .toList();
            Replies.ok(
                    reply,
                    Replies.search(
                            request.index(), tookMs(since), timedOut, q.parts().size(), missing, total, hits, null));
        }

        @Override
        public void onRejected(Query q, double pauseS) {
            closed(q);
            SearchFront.refused(reply, pauseS);
        }

        @Override
        public void onFailed(Query q, boolean overdue) {
            closed(q);
            SearchFront.failed(reply, overdue);
        }

        @Override
        public void pollForDisconnect() {
            reply.poll();
        }
    }

    private static boolean overdue(Part p) {
        AttemptOutcome last = p.lastOutcome();
        return p.isSent() && (last == null || last == AttemptOutcome.TIMEOUT || last == AttemptOutcome.CANCELLED);
    }

    private static Missing missing(Part p) {
        return !p.isSent()
                ? new Missing(p.shard(), "rejected_execution_exception", "left out under load")
                : overdue(p)
                        ? new Missing(p.shard(), "timeout_exception", "no answer in time")
                        : new Missing(p.shard(), "shard_failed_exception", "ended as " + outcomeName(p.lastOutcome()));
    }

    /** The name of an outcome in the API's failure reasons, which is part of the interface. */
    private static String outcomeName(AttemptOutcome outcome) {
        return switch (outcome) {
            case OVERLOADED -> "FULL";
            case NOT_SENT -> "MOOT";
            default -> outcome.name();
        };
    }

    private long tookMs(double since) {
        return Math.round((clock.now() - since) * 1e3);
    }

    private static void refused(HttpServer.Reply reply, double pauseS) {
        // Whole seconds, as HTTP has it, and no sooner than the module advises.
        String extra = pauseS > 0 ? "Retry-After: " + (long) Math.ceil(pauseS) + "\r\n" : "";
        Replies.error(reply, 429, "rejected_execution_exception", "refused, trying again is harmless", extra);
    }

    private static void failed(HttpServer.Reply reply, boolean overdue) {
        if (overdue) {
            Replies.error(reply, 504, "timeout_exception", "no answer in time", "");
        } else {
            Replies.error(reply, 500, "search_phase_execution_exception", "given up; it may have had effects", "");
        }
    }

    // ---- Updates ------------------------------------------------------------

    /** Words the core's one final answer to an update: the worker's own answer, unchanged. */
    private record UpdateClient(HttpServer.Reply reply) implements QueryListener {

        @Override
        public void onAnswer(Query q, boolean whole) {
            byte[] value = q.parts().get(0).value();
            String text = new String(value, java.nio.charset.StandardCharsets.UTF_8);
            if (text.startsWith("{")) {
                Replies.raw(reply, value);
                return;
            }
            SearchRequest request = (SearchRequest) q.request().frontContext();
            JsonObject body = new JsonObject();
            body.addProperty("_index", request.index());
            body.addProperty("_id", request.docId());
            body.addProperty("result", "updated");
            body.addProperty("blob", text);
            Replies.ok(reply, body);
        }

        @Override
        public void onRejected(Query q, double pauseS) {
            SearchFront.refused(reply, pauseS);
        }

        @Override
        public void onFailed(Query q, boolean overdue) {
            SearchFront.failed(reply, overdue);
        }

        @Override
        public void pollForDisconnect() {
            reply.poll();
        }
    }

    // ---- Scrolls ------------------------------------------------------------

    private Runnable clear(HttpMessage m, HttpServer.Reply reply) throws ApiException {
        JsonObject body = RequestReader.scroll(m);
        JsonElement ids = body.get("scroll_id");
        int freed = 0;
        if (ids != null && ids.isJsonPrimitive() && ids.getAsString().equals("_all")) {
            freed = scrolls.closeAll();
        } else if (ids != null && (ids.isJsonArray() || ids.isJsonPrimitive())) {
            List<JsonElement> each = ids.isJsonArray() ? ids.getAsJsonArray().asList() : List.of(ids);
            for (JsonElement id : each) {
                freed += id.isJsonPrimitive() && scrolls.close(scrolls.get(id.getAsString())) ? 1 : 0;
            }
        } else {
            throw new ApiException(400, "action_request_validation_exception", "no scroll ids specified");
        }
        JsonObject answer = new JsonObject();
        answer.addProperty("succeeded", true);
        answer.addProperty("num_freed", freed);
        if (freed > 0) {
            Replies.ok(reply, answer);
        } else {
            reply.send(
                    404,
                    "application/json; charset=UTF-8",
                    "",
                    answer.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }
        return () -> {};
    }

    /**
     * The next page. Each shard's context is held by one worker, so there is nothing for the module to choose; the
     * rules hold all the same: nothing to a worker that drains, no page from less than the class's floor.
     */
    private Runnable scroll(HttpMessage m, HttpServer.Reply reply) throws ApiException {
        JsonObject body = RequestReader.scroll(m);
        JsonElement id = body.get("scroll_id");
        Scrolls.Scroll s = id != null && id.isJsonPrimitive() ? scrolls.get(id.getAsString()) : null;
        if (s == null) {
            throw new ApiException(404, "search_context_missing_exception", "no search context found");
        }
        if (s.reading) {
            throw ApiException.illegal("a page of this scroll is being read");
        }
        JsonElement keep = body.get("scroll");
        if (keep != null && keep.isJsonPrimitive()) {
            s.keepS = reader.keep(keep.getAsString());
        }
        s.touch();
        s.reading = true;
        double since = clock.now();
        QueryClass kind = s.kind;
        List<Scrolls.Shard> wanting = s.shards.stream()
                .filter(x -> x.context != null && x.buffer.size() < s.request.size())
                .toList();
        int[] left = {wanting.size()};
        BooleanSupplier wanted = () -> {
            reply.poll();
            return scrolls.get(s.id) == s;
        };
        for (Scrolls.Shard shard : wanting) {
            backend.nextPage(shard.worker, shard.no, shard.context, s.keepS, kind.latencyObjectiveS(), wanted, page -> {
                if (page == null) {
                    shard.timedOut = clock.now() - since >= kind.latencyObjectiveS();
                    shard.failed = new Missing(
                            shard.no,
                            shard.timedOut ? "timeout_exception" : "search_context_missing_exception",
                            "no next page from its worker");
                    scrolls.release(shard);
                } else if (page.hits().isEmpty()) {
                    scrolls.release(shard);
                } else {
                    shard.buffer.addAll(page.hits());
                    shard.context = page.scrollId() != null ? page.scrollId() : shard.context;
                }
                if (--left[0] == 0) {
                    page(s, kind, since, reply);
                }
            });
        }
        if (wanting.isEmpty()) {
            page(s, kind, since, reply);
        }
        return () -> scrolls.close(s);
    }

    private void page(Scrolls.Scroll s, QueryClass kind, double since, HttpServer.Reply reply) {
        if (scrolls.get(s.id) == null) {
            // Cleared, expired or left meanwhile: contexts that its last answers renamed go too.
            s.shards.forEach(scrolls::release);
            Replies.error(reply, 404, "search_context_missing_exception", "no search context found", "");
            return;
        }
        s.reading = false;
        List<Missing> missing = new ArrayList<>(s.missing);
        boolean timedOut = false;
        double in = 0;
        for (Scrolls.Shard shard : s.shards) {
            if (shard.failed != null) {
                missing.add(shard.failed);
                timedOut |= shard.timedOut;
            } else {
                in += shard.weight;
            }
        }
        if (in < kind.minimumCoverage() - EPS) {
            scrolls.close(s);
            failed(reply, timedOut);
            return;
        }
        s.touch();
        int shards = s.shards.size() + s.missing.size();
        List<Hit> page = s.page();
        Replies.ok(
                reply,
                Replies.search(s.request.index(), tookMs(since), timedOut, shards, missing, s.total, page, s.id));
    }
}
