package pepperdock.opensearch;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.OpenSearchConfig;
import pepperdock.core.Attempt;
import pepperdock.core.Gatherer;
import pepperdock.core.LogRateLimiter;
import pepperdock.core.PooledBackend;
import pepperdock.core.WorkerEndpoint;
import pepperdock.transport.EventLoop;

/** Workers that speak the OpenSearch-style API; a {@link SearchWorker} each. */
public final class SearchBackend extends PooledBackend<SearchWorker> {

    private final EventLoop loop;
    private final DeploymentSettings site;
    private final OpenSearchConfig config;
    /** One for all workers: a hundred of them may fail in the same second. */
    private final LogRateLimiter unusableAnswerLog;
    /** A backend without workers; they come with the endpoint list. */
    public SearchBackend(EventLoop loop, DeploymentSettings site, OpenSearchConfig config) {
        this.loop = loop;
        this.site = site;
        this.config = config;
        unusableAnswerLog = new LogRateLimiter(
                System.getLogger("pepperdock.opensearch"), loop, "answers of workers that can't be used");
    }

    @Override
    protected SearchWorker createWorker(WorkerEndpoint host, Gatherer core) {
        return new SearchWorker(host.id(), host.address(), loop, site, config, core, unusableAnswerLog);
    }

    /** Nobody will page on from this copy: its context must not wait for its time-out. */
    @Override
    public void releaseUnusedAnswer(Attempt attempt, byte[] value) {
        if (attempt.part().query().request().frontContext() instanceof SearchRequest searchRequest
                && searchRequest.scroll()) {
            String scrollId = ShardAnswer.lenient(attempt.part().shard(), searchRequest.index(), value)
                    .scrollId();
            if (scrollId != null) {
                releaseScroll(attempt.worker(), scrollId);
            }
        }
    }

    /**
     * The next page of a shard's scroll, from the one worker that holds its context; null says it can't be had. It is asked
     * for only while it is {@code wanted}, told anew where the request has waited for a connection.
     */
    void nextPage(
            String worker,
            int shard,
            String scrollId,
            double keepS,
            double timeoutS,
            BooleanSupplier wanted,
            Consumer<ShardAnswer> listener) {
        SearchWorker searchWorker = worker(worker);
        if (searchWorker == null) {
            loop.execute(() -> listener.accept(null));
        } else {
            searchWorker.nextPage(shard, scrollId, keepS, timeoutS, wanted, listener);
        }
    }

    /** Tells a worker that a scroll context is not wanted any more. */
    void releaseScroll(String worker, String scrollId) {
        SearchWorker searchWorker = worker(worker);
        if (searchWorker != null) {
            searchWorker.releaseScroll(scrollId);
        }
    }
}
