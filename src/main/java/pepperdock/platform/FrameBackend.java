package pepperdock.platform;

import pepperdock.config.DeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.core.LogRateLimiter;
import pepperdock.core.PooledBackend;
import pepperdock.core.WorkerEndpoint;
import pepperdock.transport.EventLoop;

/**
 * The backend for workers that speak the platform's frames: one {@link WorkerConnectionPool} for each endpoint of the list.
 *
 * <p>Made with the loop that owns it, and started with the gatherer that sends through it. All calls, and all calls back to
 * the gatherer, are made on the loop's thread.
 */
public final class FrameBackend extends PooledBackend<WorkerConnectionPool> {

    private final EventLoop loop;
    private final DeploymentSettings site;
    /** One for all workers: a hundred of them may fail in the same second. */
    private final LogRateLimiter log;

    /** The site's settings give the limits of connections and the form of load reports. */
    public FrameBackend(EventLoop loop, DeploymentSettings site) {
        this.loop = loop;
        this.site = site;
        log = new LogRateLimiter(System.getLogger("pepperdock.platform"), loop, "malformed or rejected frames");
    }

    @Override
    protected WorkerConnectionPool createWorker(WorkerEndpoint endpoint, Gatherer core) {
        WorkerContext context = new WorkerContext(endpoint.id(), loop, site, core, log);
        return new WorkerConnectionPool(context, endpoint.address());
    }
}
