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
 * The scrolls that are open: capped, and each let go, here and at the workers that hold its contexts, once it was not
 * used for its time.
 */
final class ScrollRegistry {

    /** Where a scroll's context is held, and how it is let go. */
    interface ContextReleaser {
        void release(String worker, String scrollId);
    }

    /** One shard's side of a scroll: the context at its worker, and hits that came but were not given out yet. */
    static final class ScrollShard {
        final int number;
        final double weight;
        final String worker;
        final ArrayDeque<Hit> buffer = new ArrayDeque<>();
        String context;
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
        /** The class whose rules its pages go by, as the settings were when it was opened. */
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

        /** Puts the end of its life off. */
        void extendLifetime() {
            if (expiry != null) {
                expiry.cancel();
            }
            expiry = clock.after(keepAliveS, () -> close(this));
        }

        /** The next page out of what the shards have brought, best hits first. */
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
    private final ContextReleaser contexts;
    private final int maxOpen;
    private final Map<String, Scroll> open = new LinkedHashMap<>();

    ScrollRegistry(Clock clock, ContextReleaser contexts, int maxOpen) {
        this.clock = clock;
        this.contexts = contexts;
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
        scroll.extendLifetime();
        return scroll;
    }

    /** The scroll of that id; null when there is none, or no more. */
    Scroll get(String id) {
        return open.get(id);
    }

    /** Lets a scroll go, here and at its workers; false when it was gone already. */
    boolean close(Scroll scroll) {
        if (scroll == null || open.remove(scroll.id) == null) {
            return false;
        }
        scroll.expiry.cancel();
        scroll.shards.forEach(this::release);
        return true;
    }

    void release(ScrollShard shard) {
        if (shard.context != null) {
            contexts.release(shard.worker, shard.context);
            shard.context = null;
        }
    }

    int closeAll() {
        List<Scroll> all = List.copyOf(open.values());
        all.forEach(this::close);
        return all.size();
    }
}
