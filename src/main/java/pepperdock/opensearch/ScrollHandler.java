package pepperdock.opensearch;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import pepperdock.codec.http.HttpMessage;
import pepperdock.core.Clock;
import pepperdock.opensearch.ApiResponses.ShardFailure;
import pepperdock.transport.HttpResponseSender;

/** Serves {@code /_search/scroll}: reads further pages of open scrolls, and closes them. Runs on the I/O thread. */
final class ScrollHandler {

    /** How far the sum of a complete answer's weights may be from 1, as each weight is rounded. */
    private static final double COVERAGE_TOLERANCE = 1e-4;

    private static final System.Logger LOG = System.getLogger("pepperdock.opensearch");

    private final ScrollRegistry scrolls;
    private final SearchBackend backend;
    private final Clock clock;

    /** {@code backend} is null where workers speak another protocol; no scroll is ever open then. */
    ScrollHandler(ScrollRegistry scrolls, SearchBackend backend, Clock clock) {
        this.scrolls = scrolls;
        this.backend = backend;
        this.clock = clock;
    }

    /** Closes the scrolls that the request names, or all of them. */
    Runnable clear(HttpMessage message, HttpResponseSender reply) throws ApiException {
        JsonObject body = RequestReader.readScroll(message);
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
            ApiResponses.sendOk(reply, answer);
        } else {
            reply.send(
                    404,
                    "application/json; charset=UTF-8",
                    "",
                    answer.toString().getBytes(StandardCharsets.UTF_8));
        }
        return () -> {};
    }

    /**
     * Reads the next page. Only one worker holds each shard's search context, so the scheduler has nothing to choose.
     * Its rules apply all the same: nothing is sent to a draining worker, and no page below the class's minimum
     * coverage is returned.
     */
    Runnable nextPage(HttpMessage message, HttpResponseSender reply, RequestReader reader) throws ApiException {
        JsonObject body = RequestReader.readScroll(message);
        ScrollRegistry.Scroll scroll = findScroll(body);
        JsonElement keepAlive = body.get("scroll");
        if (keepAlive != null && keepAlive.isJsonPrimitive()) {
            scroll.keepAliveS = reader.readKeepAliveS(keepAlive.getAsString());
        }
        scroll.restartKeepAlive();
        scroll.reading = true;
        double startedAt = clock.now();
        List<ScrollRegistry.ScrollShard> shards = scroll.shards.stream()
                .filter(shard -> shard.contextId != null && shard.buffer.size() < scroll.request.size())
                .toList();
        int[] pendingShards = {shards.size()};
        for (ScrollRegistry.ScrollShard shard : shards) {
            requestPage(scroll, shard, reply, page -> {
                onShardPage(scroll, shard, page, startedAt);
                if (--pendingShards[0] == 0) {
                    answerPage(scroll, startedAt, reply);
                }
            });
        }
        if (shards.isEmpty()) {
            answerPage(scroll, startedAt, reply);
        }
        return () -> scrolls.close(scroll);
    }

    /** Answers with the next page, or with an error if that fails: nothing else would answer the client any more. */
    private void answerPage(ScrollRegistry.Scroll scroll, double startedAt, HttpResponseSender reply) {
        try {
            sendPage(scroll, startedAt, reply);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "building a page of a scroll failed", e);
            scrolls.close(scroll);
            QueryErrors.sendFailed(reply, false);
        }
    }

    /** Returns the scroll that a request names; throws if it is not open, or if another page of it is being read. */
    private ScrollRegistry.Scroll findScroll(JsonObject body) throws ApiException {
        JsonElement id = body.get("scroll_id");
        ScrollRegistry.Scroll scroll = id != null && id.isJsonPrimitive() ? scrolls.get(id.getAsString()) : null;
        if (scroll == null) {
            throw new ApiException(404, "search_context_missing_exception", "no search context found");
        }
        if (scroll.reading) {
            throw ApiException.illegal("a page of this scroll is being read");
        }
        return scroll;
    }

    private void requestPage(
            ScrollRegistry.Scroll scroll,
            ScrollRegistry.ScrollShard shard,
            HttpResponseSender reply,
            Consumer<ShardAnswer> listener) {
        BooleanSupplier stillWanted = () -> {
            reply.pollForDisconnect();
            return scrolls.get(scroll.id) == scroll;
        };
        backend.nextPage(
                shard.worker,
                shard.number,
                shard.contextId,
                scroll.keepAliveS,
                scroll.queryClass.latencyObjectiveS(),
                stillWanted,
                listener);
    }

    /** Handles a shard's page, which is null if it could not be read. */
    private void onShardPage(
            ScrollRegistry.Scroll scroll, ScrollRegistry.ScrollShard shard, ShardAnswer page, double startedAt) {
        if (page == null) {
            shard.timedOut = clock.now() - startedAt >= scroll.queryClass.latencyObjectiveS();
            shard.failure = new ShardFailure(
                    shard.number,
                    shard.timedOut ? "timeout_exception" : "search_context_missing_exception",
                    "no next page from its worker");
            scrolls.release(shard);
        } else if (page.hits().isEmpty()) {
            scrolls.release(shard);
        } else {
            shard.buffer.addAll(page.hits());
            shard.contextId = page.scrollId() != null ? page.scrollId() : shard.contextId;
        }
    }

    /** Answers with the next page, once all shards have been read. */
    private void sendPage(ScrollRegistry.Scroll scroll, double startedAt, HttpResponseSender reply) {
        if (scrolls.get(scroll.id) == null) {
            // The scroll was closed, expired or abandoned meanwhile: contexts to which the last answers gave new ids
            // are released too.
            scroll.shards.forEach(scrolls::release);
            ApiResponses.sendError(reply, 404, "search_context_missing_exception", "no search context found", "");
            return;
        }
        scroll.reading = false;
        List<ShardFailure> missing = new ArrayList<>(scroll.failures);
        boolean timedOut = false;
        double coverage = 0;
        for (ScrollRegistry.ScrollShard shard : scroll.shards) {
            if (shard.failure != null) {
                missing.add(shard.failure);
                timedOut |= shard.timedOut;
            } else {
                coverage += shard.weight;
            }
        }
        if (coverage < scroll.queryClass.minimumCoverage() - COVERAGE_TOLERANCE) {
            scrolls.close(scroll);
            QueryErrors.sendFailed(reply, timedOut);
            return;
        }
        scroll.restartKeepAlive();
        int shards = scroll.shards.size() + scroll.failures.size();
        List<Hit> page = scroll.takePage();
        ApiResponses.sendOk(
                reply,
                ApiResponses.searchBody(
                        scroll.request.index(),
                        Math.round((clock.now() - startedAt) * 1e3),
                        timedOut,
                        shards,
                        missing,
                        scroll.total,
                        page,
                        scroll.id));
    }
}
