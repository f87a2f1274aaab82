package pepperdock.opensearch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import pepperdock.core.Clock;
import pepperdock.opensearch.Replies.Missing;
import pepperdock.scheduler.QueryClass;

/**
 * The scrolls that are open: capped, and each let go, here and at the workers that hold its contexts, once it was not
 * used for its time.
 */
final class Scrolls {

    /** Where a scroll's context is held, and how it is let go. */
    interface Contexts {
        void free(String worker, String scrollId);
    }

    /** One shard's side of a scroll: the context at its worker, and hits that came but were not given out yet. */
    static final class Shard {
        final int no;
        final double weight;
        final String worker;
        final ArrayDeque<Hit> buffer = new ArrayDeque<>();
        String context;
        boolean timedOut;
        Missing failed;

        Shard(int no, double weight, String worker) {
            this.no = no;
            this.weight = weight;
            this.worker = worker;
        }
    }

    /** One open scroll. */
    final class Scroll {
        final String id = UUID.randomUUID().toString();
        final SearchRequest request;
        /** The class whose rules its pages go by, as the settings were when it was opened. */
        final QueryClass kind;

        final List<Shard> shards;
        final List<Missing> missing;
        final long total;
        double keepS;
        boolean reading;
        private Clock.Timer expiry;

        private Scroll(SearchRequest request, QueryClass kind, List<Shard> shards, List<Missing> missing, long total) {
            this.request = request;
            this.kind = kind;
            this.shards = shards;
            this.missing = new ArrayList<>(missing);
            this.total = total;
            keepS = request.scrollS();
        }

        /** Puts the end of its life off. */
        void touch() {
            if (expiry != null) {
                expiry.cancel();
            }
            expiry = clock.after(keepS, () -> close(this));
        }

        /** The next page out of what the shards have brought, best hits first. */
        List<Hit> page() {
            List<Hit> page = new ArrayList<>();
            while (page.size() < request.size()) {
                Shard best = null;
                for (Shard s : shards) {
                    if (!s.buffer.isEmpty()
                            && (best == null || request.order().compare(s.buffer.peek(), best.buffer.peek()) < 0)) {
                        best = s;
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
    private final Contexts contexts;
    private final int most;
    private final Map<String, Scroll> open = new LinkedHashMap<>();

    Scrolls(Clock clock, Contexts contexts, int most) {
        this.clock = clock;
        this.contexts = contexts;
        this.most = most;
    }

    boolean full() {
        return open.size() >= most;
    }

    int size() {
        return open.size();
    }

    Scroll open(SearchRequest request, QueryClass kind, List<Shard> shards, List<Missing> missing, long total) {
        Scroll s = new Scroll(request, kind, shards, missing, total);
        open.put(s.id, s);
        s.touch();
        return s;
    }

    /** The scroll of that id; null when there is none, or no more. */
    Scroll get(String id) {
        return open.get(id);
    }

    /** Lets a scroll go, here and at its workers; false when it was gone already. */
    boolean close(Scroll s) {
        if (s == null || open.remove(s.id) == null) {
            return false;
        }
        s.expiry.cancel();
        s.shards.forEach(this::release);
        return true;
    }

    void release(Shard s) {
        if (s.context != null) {
            contexts.free(s.worker, s.context);
            s.context = null;
        }
    }

    int closeAll() {
        List<Scroll> all = List.copyOf(open.values());
        all.forEach(this::close);
        return all.size();
    }
}
