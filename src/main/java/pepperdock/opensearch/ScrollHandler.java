package pepperdock.opensearch;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import pepperdock.codec.http.HttpMessage;
import pepperdock.core.Clock;
import pepperdock.opensearch.Replies.Missing;
import pepperdock.scheduler.QueryClass;
import pepperdock.transport.HttpServer;

/** Serves {@code /_search/scroll}: further pages of open scrolls, and their end. Runs on the I/O thread. */
final class ScrollHandler {

    /** How far the weights of a complete answer may be from 1: they are rounded one by one. */
    private static final double COVERAGE_TOLERANCE = 1e-4;

    private final Scrolls scrolls;
    private final SearchBackend backend;
    private final Clock clock;

    /** {@code backend} is null where workers speak another protocol; no scroll is ever open then. */
    ScrollHandler(Scrolls scrolls, SearchBackend backend, Clock clock) {
        this.scrolls = scrolls;
        this.backend = backend;
        this.clock = clock;
    }

    /** Closes the scrolls that the request names, or all of them. */
    Runnable clear(HttpMessage message, HttpServer.Reply reply) throws ApiException {
        JsonObject body = RequestReader.scroll(message);
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
                    answer.toString().getBytes(StandardCharsets.UTF_8));
        }
        return () -> {};
    }

    /**
     * Reads the next page. Each shard's search context lives at one worker, so the scheduler has nothing to choose; its rules
     * hold all the same: nothing is sent to a draining worker, and no page is answered below the class's minimum coverage.
     */
    Runnable nextPage(HttpMessage message, HttpServer.Reply reply, RequestReader reader) throws ApiException {
        JsonObject body = RequestReader.scroll(message);
        JsonElement id = body.get("scroll_id");
        Scrolls.Scroll scroll = id != null && id.isJsonPrimitive() ? scrolls.get(id.getAsString()) : null;
        if (scroll == null) {
            throw new ApiException(404, "search_context_missing_exception", "no search context found");
        }
        if (scroll.reading) {
            throw ApiException.illegal("a page of this scroll is being read");
        }
        JsonElement keep = body.get("scroll");
        if (keep != null && keep.isJsonPrimitive()) {
            scroll.keepS = reader.keep(keep.getAsString());
        }
        scroll.touch();
        scroll.reading = true;
        double since = clock.now();
        QueryClass queryClass = scroll.kind;
        List<Scrolls.Shard> wanting = scroll.shards.stream()
                .filter(shard -> shard.context != null && shard.buffer.size() < scroll.request.size())
                .toList();
        int[] left = {wanting.size()};
        BooleanSupplier wanted = () -> {
            reply.poll();
            return scrolls.get(scroll.id) == scroll;
        };
        for (Scrolls.Shard shard : wanting) {
            backend.nextPage(
                    shard.worker,
                    shard.no,
                    shard.context,
                    scroll.keepS,
                    queryClass.latencyObjectiveS(),
                    wanted,
                    page -> {
                        if (page == null) {
                            shard.timedOut = clock.now() - since >= queryClass.latencyObjectiveS();
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
                            page(scroll, queryClass, since, reply);
                        }
                    });
        }
        if (wanting.isEmpty()) {
            page(scroll, queryClass, since, reply);
        }
        return () -> scrolls.close(scroll);
    }

    private void page(Scrolls.Scroll scroll, QueryClass queryClass, double since, HttpServer.Reply reply) {
        if (scrolls.get(scroll.id) == null) {
            // Cleared, expired or abandoned meanwhile: contexts that the last answers renamed are released too.
            scroll.shards.forEach(scrolls::release);
            Replies.error(reply, 404, "search_context_missing_exception", "no search context found", "");
            return;
        }
        scroll.reading = false;
        List<Missing> missing = new ArrayList<>(scroll.missing);
        boolean timedOut = false;
        double coverage = 0;
        for (Scrolls.Shard shard : scroll.shards) {
            if (shard.failed != null) {
                missing.add(shard.failed);
                timedOut |= shard.timedOut;
            } else {
                coverage += shard.weight;
            }
        }
        if (coverage < queryClass.minimumCoverage() - COVERAGE_TOLERANCE) {
            scrolls.close(scroll);
            QueryErrors.failed(reply, timedOut);
            return;
        }
        scroll.touch();
        int shards = scroll.shards.size() + scroll.missing.size();
        List<Hit> page = scroll.page();
        Replies.ok(
                reply,
                Replies.search(
                        scroll.request.index(),
                        Math.round((clock.now() - since) * 1e3),
                        timedOut,
                        shards,
                        missing,
                        scroll.total,
                        page,
                        scroll.id));
    }
}
