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
import pepperdock.opensearch.ApiResponses.ShardFailure;
import pepperdock.transport.HttpRequestHandler;
import pepperdock.transport.HttpResponseSender;

/** The OpenSearch-style front: searches, scrolls and updates, on the same core as the platform's front. */
public final class SearchFront implements HttpRequestHandler {

    private final Gatherer gatherer;
    private final Clock clock;
    private final SearchBackend backend;
    private RequestReader reader;
    private final ScrollRegistry scrolls;
    private int scrollsOpening;
    private final ScrollHandler scrollHandler;
    private final int maxScrolls;

    /** Creates a front; {@code backend} is null if workers speak another protocol, and there are no scrolls then. */
    public SearchFront(
            DeploymentSettings settings,
            OpenSearchConfig config,
            Gatherer gatherer,
            Clock clock,
            SearchBackend backend) {
        this.gatherer = gatherer;
        this.clock = clock;
        this.backend = backend;
        reader = new RequestReader(settings, config);
        maxScrolls = config.scrollContexts();
        scrolls = new ScrollRegistry(clock, (worker, id) -> backend.releaseScroll(worker, id), maxScrolls);
        scrollHandler = new ScrollHandler(scrolls, backend, clock);
    }

    /** Replaces the settings and the classes of the indices, for searches from now on. */
    public void updateSettings(DeploymentSettings settings, OpenSearchConfig config) {
        reader = new RequestReader(settings, config);
    }

    /** Returns the number of open scrolls. */
    public int openScrolls() {
        return scrolls.size();
    }

    @Override
    public void respondWithError(int status, String reason, HttpResponseSender reply) {
        ApiResponses.sendError(reply, status, status == 500 ? "exception" : "illegal_argument_exception", reason, "");
    }

    @Override
    public Runnable serve(HttpMessage message, HttpResponseSender reply) throws HttpException {
        try {
            String path = message.path();
            if (path.equals("/")) {
                requireMethod(message, "GET", "HEAD");
                JsonObject body = new JsonObject();
                body.addProperty("name", "pepperdock");
                body.addProperty("tagline", "OpenSearch-style queries over sharded ledger nodes");
                ApiResponses.sendOk(reply, body);
            } else if (path.equals("/_search/scroll") || path.startsWith("/_search/scroll/")) {
                requireMethod(message, "POST", "GET", "DELETE");
                return message.method().equals("DELETE")
                        ? scrollHandler.clear(message, reply)
                        : scrollHandler.nextPage(message, reply, reader);
            } else if (path.matches("/[^/_][^/]*/_search")) {
                requireMethod(message, "POST", "GET");
                return search(message, reply);
            } else if (path.matches("/[^/_][^/]*/_update/.+")) {
                requireMethod(message, "POST");
                Query query = gatherer.submit(reader.readUpdate(message), new UpdateListener(reply));
                return () -> gatherer.onClientGone(query);
            } else {
                throw new ApiException(404, "resource_not_found_exception", "no handler for [" + path + "]");
            }
        } catch (ApiException e) {
            ApiResponses.sendError(reply, e.status(), e.type(), e.getMessage(), "");
        }
        return () -> {};
    }

    private static void requireMethod(HttpMessage message, String... methods) throws ApiException {
        if (!List.of(methods).contains(message.method())) {
            throw new ApiException(405, "method_not_allowed_exception", "allowed: " + String.join(", ", methods));
        }
    }

    // ---- Searches ------------------------------------------------------------

    private Runnable search(HttpMessage message, HttpResponseSender reply) throws ApiException {
        QueryRequest queryRequest = reader.readSearch(message);
        SearchRequest request = (SearchRequest) queryRequest.frontContext();
        if (request.isScroll()) {
            if (backend == null) {
                throw ApiException.illegal("there are no scrolls on this deployment");
            }
            if (scrolls.size() + scrollsOpening >= maxScrolls) {
                throw new ApiException(
                        429, "rejected_execution_exception", "too many scroll contexts, at most " + maxScrolls);
            }
            scrollsOpening++;
        }
        boolean partialAllowed = !"false".equals(message.parameter("allow_partial_search_results"));
        SearchListener listener = new SearchListener(reply, request, clock.now(), partialAllowed);
        Query query = gatherer.submit(queryRequest, listener);
        return () -> {
            gatherer.onClientGone(query);
            listener.endWithoutScroll(query);
        };
    }

    /** Releases the contexts that the parts of a search have opened, where the search ends without opening a scroll. */
    private void releaseContexts(SearchRequest request, Query query) {
        if (request.isScroll()) {
            for (Part part : query.parts()) {
                if (part.value() != null) {
                    String id = ShardAnswer.parseLeniently(part.shard(), request.index(), part.value())
                            .scrollId();
                    if (id != null) {
                        backend.releaseScroll(part.servedBy(), id);
                    }
                }
            }
        }
    }

    /** Sends the core's one final answer to a search in the API's format. */
    private final class SearchListener implements QueryListener {
        private final HttpResponseSender reply;
        private final SearchRequest request;
        private final double startedAt;
        private final boolean partialAllowed;
        private boolean ended;
        /** The scroll that the answer opens; null if there is none. */
        private ScrollRegistry.Scroll scroll;

        SearchListener(HttpResponseSender reply, SearchRequest request, double startedAt, boolean partialAllowed) {
            this.reply = reply;
            this.request = request;
            this.startedAt = startedAt;
            this.partialAllowed = partialAllowed;
        }

        /**
         * Records that the search has ended, however it ended, so that it no longer counts as about to open a scroll.
         * Returns whether this was the first call.
         */
        private boolean markEnded() {
            boolean first = !ended;
            ended = true;
            scrollsOpening -= first && request.isScroll() ? 1 : 0;
            return first;
        }

        private void endWithoutScroll(Query query) {
            if (markEnded()) {
                releaseContexts(request, query);
            }
        }

        @Override
        public void onAnswer(Query query, boolean complete) {
            List<ShardFailure> failures = new ArrayList<>();
            List<ScrollRegistry.ScrollShard> shards = new ArrayList<>();
            boolean timedOut = false;
            long total = 0;
            for (Part part : query.parts()) {
                if (part.value() == null) {
                    failures.add(PartFailures.of(part));
                    timedOut |= PartFailures.timedOut(part);
                    continue;
                }
                ShardAnswer answer = ShardAnswer.parseLeniently(part.shard(), request.index(), part.value());
                shards.add(scrollShard(part, answer));
                total += answer.total();
            }
            if (!partialAllowed && !failures.isEmpty()) {
                endWithoutScroll(query);
                ApiResponses.sendError(
                        reply,
                        timedOut ? 504 : 500,
                        "search_phase_execution_exception",
                        "partial shards failure, and partial results are not allowed",
                        "");
                return;
            }
            scroll = openScroll(query, shards, failures, total);
            List<Hit> page = scroll != null ? scroll.takePage() : mergedHits(shards);
            JsonObject body = ApiResponses.searchBody(
                    request.index(),
                    tookMs(startedAt),
                    timedOut,
                    query.parts().size(),
                    failures,
                    total,
                    page,
                    scroll != null ? scroll.id : null);
            ApiResponses.sendOk(reply, body);
        }

        private static ScrollRegistry.ScrollShard scrollShard(Part part, ShardAnswer answer) {
            ScrollRegistry.ScrollShard shard =
                    new ScrollRegistry.ScrollShard(part.shard(), part.weight(), part.servedBy());
            shard.buffer.addAll(answer.hits());
            shard.contextId = answer.scrollId();
            return shard;
        }

        /** Opens the scroll that the search asked for; returns null if it asked for none. */
        private ScrollRegistry.Scroll openScroll(
                Query query, List<ScrollRegistry.ScrollShard> shards, List<ShardFailure> failures, long total) {
            if (!request.isScroll()) {
                return null;
            }
            markEnded();
            return scrolls.open(request, query.queryClass(), shards, failures, total);
        }

        private List<Hit> mergedHits(List<ScrollRegistry.ScrollShard> shards) {
            return shards.stream()
                    .flatMap(shard -> shard.buffer.stream())
                    .sorted(request.order())
                    .skip(request.from())
                    .limit(request.size())
                    .toList();
        }

        @Override
        public void onRejected(Query query, double retryAfterS) {
            endWithoutScroll(query);
            QueryErrors.sendRejected(reply, retryAfterS);
        }

        @Override
        public void onFailed(Query query, boolean overdue) {
            // Also called if the answer could not be given, when its scroll is open already.
            scrolls.close(scroll);
            endWithoutScroll(query);
            QueryErrors.sendFailed(reply, overdue);
        }

        @Override
        public void pollForDisconnect() {
            reply.pollForDisconnect();
        }
    }

    private long tookMs(double startedAt) {
        return Math.round((clock.now() - startedAt) * 1e3);
    }
}
