package pepperdock.platform;

import pepperdock.config.DeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.core.LogRateLimiter;
import pepperdock.core.PooledBackend;
import pepperdock.core.WorkerEndpoint;
import pepperdock.transport.EventLoop;

/**
 * The backend for workers that speak the platform's frame protocol: one {@link WorkerConnectionPool} for each endpoint
 * of the list.
 *
 * <p>Constructed with the event loop that owns it, and started with the gatherer that sends through it. All calls, and
 * all callbacks to the gatherer, run on the loop's thread.
 */
public final class FrameBackend extends PooledBackend<WorkerConnectionPool> {

    private final EventLoop loop;
    private final DeploymentSettings settings;
    /** Shared by all workers, because a hundred of them may fail in the same second. */
    private final LogRateLimiter log;

    private final UnreportedResults unreportedResults = new UnreportedResults();

    /** Creates a backend; the settings give the connection limits and the format of load reports. */
    public FrameBackend(EventLoop loop, DeploymentSettings settings) {
        this.loop = loop;
        this.settings = settings;
        log = new LogRateLimiter(System.getLogger("pepperdock.platform"), loop, "malformed or rejected frames");
    }

    @Override
    public void pollForRetractions() {
        unreportedResults.poll();
    }

    @Override
    protected WorkerConnectionPool createWorker(WorkerEndpoint endpoint, Gatherer core) {
        WorkerContext context = new WorkerContext(endpoint.id(), loop, settings, core, log, unreportedResults);
        return new WorkerConnectionPool(context, endpoint.address());
    }
}
