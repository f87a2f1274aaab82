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

/** A backend of workers that speak the OpenSearch-style API, with a {@link SearchWorker} for each. */
public final class SearchBackend extends PooledBackend<SearchWorker> {

    private final EventLoop loop;
    private final DeploymentSettings settings;
    private final OpenSearchConfig config;
    /** Shared by all workers, as a hundred of them may fail in the same second. */
    private final LogRateLimiter unusableAnswerLog;
    /** Creates a backend without workers; they are added from the endpoint list. */
    public SearchBackend(EventLoop loop, DeploymentSettings settings, OpenSearchConfig config) {
        this.loop = loop;
        this.settings = settings;
        this.config = config;
        unusableAnswerLog =
                new LogRateLimiter(System.getLogger("pepperdock.opensearch"), loop, "unusable answers of workers");
    }

    @Override
    protected SearchWorker createWorker(WorkerEndpoint endpoint, Gatherer gatherer) {
        return new SearchWorker(endpoint.id(), endpoint.address(), loop, settings, config, gatherer, unusableAnswerLog);
    }

    /** Releases the answer's scroll context, which no page will be read from, without waiting for its time-out. */
    @Override
    public void releaseUnusedAnswer(Attempt attempt, byte[] value) {
        if (attempt.part().query().request().frontContext() instanceof SearchRequest searchRequest
                && searchRequest.isScroll()) {
            String scrollId = ShardAnswer.parseLeniently(attempt.part().shard(), searchRequest.index(), value)
                    .scrollId();
            if (scrollId != null) {
                releaseScroll(attempt.worker(), scrollId);
            }
        }
    }

    /**
     * Requests the next page of a shard's scroll from the one worker that holds its context; the listener receives null
     * if there is no such page. The request is sent only if {@code stillWanted} returns true; it is called again if the
     * request has waited for a connection.
     */
    void nextPage(
            String worker,
            int shard,
            String scrollId,
            double keepAliveS,
            double timeoutS,
            BooleanSupplier stillWanted,
            Consumer<ShardAnswer> listener) {
        SearchWorker searchWorker = worker(worker);
        if (searchWorker == null) {
            loop.execute(() -> listener.accept(null));
        } else {
            searchWorker.nextPage(shard, scrollId, keepAliveS, timeoutS, stillWanted, listener);
        }
    }

    /** Tells a worker that a scroll context is no longer needed. */
    void releaseScroll(String worker, String scrollId) {
        SearchWorker searchWorker = worker(worker);
        if (searchWorker != null) {
            searchWorker.releaseScroll(scrollId);
        }
    }
}
