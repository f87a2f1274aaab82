package pepperdock.opensearch;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import pepperdock.codec.http.HttpException;
import pepperdock.codec.http.HttpMessage;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.OpenSearchConfig;
import pepperdock.core.Clock;
import pepperdock.core.Gatherer;
import pepperdock.core.Part;
import pepperdock.core.Query;
import pepperdock.core.QueryListener;
import pepperdock.core.QueryRequest;
import pepperdock.opensearch.Replies.Missing;
import pepperdock.transport.HttpServer;

/** The OpenSearch-style front: searches, scrolls and updates, on the same core as the platform's front. */
public final class SearchFront implements HttpServer.Service {

    private final Gatherer core;
    private final Clock clock;
    private final SearchBackend backend;
    private RequestReader reader;
    private final Scrolls scrolls;
    private int opening;
    private final ScrollHandler scrollHandler;
    private final int scrollsMost;

    /** {@code backend} is null where workers speak another protocol; there are no scrolls then. */
    public SearchFront(
            DeploymentSettings site, OpenSearchConfig config, Gatherer core, Clock clock, SearchBackend backend) {
        this.core = core;
        this.clock = clock;
        this.backend = backend;
        reader = new RequestReader(site, config);
        scrollsMost = config.scrollContexts();
        scrolls = new Scrolls(clock, (worker, id) -> backend.free(worker, id), scrollsMost);
        scrollHandler = new ScrollHandler(scrolls, backend, clock);
    }

    /** Other settings, and classes of the indices, for searches from now on. */
    public void use(DeploymentSettings site, OpenSearchConfig config) {
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
                return m.method().equals("DELETE")
                        ? scrollHandler.clear(m, reply)
                        : scrollHandler.nextPage(m, reply, reader);
            } else if (path.matches("/[^/_][^/]*/_search")) {
                allow(m, "POST", "GET");
                return search(m, reply);
            } else if (path.matches("/[^/_][^/]*/_update/.+")) {
                allow(m, "POST");
                Query q = core.submit(reader.update(m), new UpdateListener(reply));
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
                    missing.add(PartFailures.of(p));
                    timedOut |= PartFailures.timedOut(p);
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
            if (request.scroll()) {
                end();
                Scrolls.Scroll scroll = scrolls.open(request, q.queryClass(), shards, missing, total);
                List<Hit> page = scroll.page();
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
                                scroll.id));
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
            QueryErrors.rejected(reply, pauseS);
        }

        @Override
        public void onFailed(Query q, boolean overdue) {
            closed(q);
            QueryErrors.failed(reply, overdue);
        }

        @Override
        public void pollForDisconnect() {
            reply.poll();
        }
    }

    private long tookMs(double since) {
        return Math.round((clock.now() - since) * 1e3);
    }
}
