package pepperdock.opensearch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import pepperdock.core.Clock;
import pepperdock.opensearch.ApiResponses.ShardFailure;
import pepperdock.scheduler.QueryClass;

/**
 * Holds the open scrolls, whose number is capped. A scroll that is not used for its keep-alive time is closed, and its
 * contexts are released at the workers that hold them.
 */
final class ScrollRegistry {

    /** Releases a scroll's context at the worker that holds it. */
    interface ContextReleaser {
        void release(String worker, String scrollId);
    }

    /** One shard's part of a scroll: the context at its worker, and hits that were received but not returned yet. */
    static final class ScrollShard {
        final int number;
        final double weight;
        final String worker;
        final ArrayDeque<Hit> buffer = new ArrayDeque<>();
        String contextId;
        boolean timedOut;
        ShardFailure failure;

        ScrollShard(int number, double weight, String worker) {
            this.number = number;
            this.weight = weight;
            this.worker = worker;
        }
    }

    /** One open scroll. */
    final class Scroll {
        final String id = UUID.randomUUID().toString();
        final SearchRequest request;
        /** The class whose rules apply to its pages, with the settings of the time when it was opened. */
        final QueryClass queryClass;

        final List<ScrollShard> shards;
        final List<ShardFailure> failures;
        final long total;
        double keepAliveS;
        boolean reading;
        private Clock.Timer expiry;

        private Scroll(
                SearchRequest request,
                QueryClass queryClass,
                List<ScrollShard> shards,
                List<ShardFailure> failures,
                long total) {
            this.request = request;
            this.queryClass = queryClass;
            this.shards = shards;
            this.failures = new ArrayList<>(failures);
            this.total = total;
            keepAliveS = request.scrollS();
        }

        /** Restarts the keep-alive time. */
        void restartKeepAlive() {
            if (expiry != null) {
                expiry.cancel();
            }
            expiry = clock.after(keepAliveS, () -> close(this));
        }

        /** Takes the next page from the hits that the shards have returned, best hits first. */
        List<Hit> takePage() {
            List<Hit> page = new ArrayList<>();
            while (page.size() < request.size()) {
                ScrollShard best = null;
                for (ScrollShard candidate : shards) {
                    if (!candidate.buffer.isEmpty()
                            && (best == null
                                    || request.order().compare(candidate.buffer.peek(), best.buffer.peek()) < 0)) {
                        best = candidate;
                    }
                }
                if (best == null) {
                    break;
                }
                page.add(best.buffer.poll());
            }
            return page;
        }
    }

    private final Clock clock;
    private final ContextReleaser contextReleaser;
    private final int maxOpen;
    private final Map<String, Scroll> open = new LinkedHashMap<>();

    ScrollRegistry(Clock clock, ContextReleaser contextReleaser, int maxOpen) {
        this.clock = clock;
        this.contextReleaser = contextReleaser;
        this.maxOpen = maxOpen;
    }

    boolean full() {
        return open.size() >= maxOpen;
    }

    int size() {
        return open.size();
    }

    Scroll open(
            SearchRequest request,
            QueryClass queryClass,
            List<ScrollShard> shards,
            List<ShardFailure> failures,
            long total) {
        Scroll scroll = new Scroll(request, queryClass, shards, failures, total);
        open.put(scroll.id, scroll);
        scroll.restartKeepAlive();
        return scroll;
    }

    /** Returns the scroll with that id, or null if there is none, or it is closed. */
    Scroll get(String id) {
        return open.get(id);
    }

    /** Closes a scroll and releases its contexts at the workers; returns false if it was closed already. */
    boolean close(Scroll scroll) {
        if (scroll == null || open.remove(scroll.id) == null) {
            return false;
        }
        scroll.expiry.cancel();
        scroll.shards.forEach(this::release);
        return true;
    }

    void release(ScrollShard shard) {
        if (shard.contextId != null) {
            contextReleaser.release(shard.worker, shard.contextId);
            shard.contextId = null;
        }
    }

    int closeAll() {
        List<Scroll> all = List.copyOf(open.values());
        all.forEach(this::close);
        return all.size();
    }
}
