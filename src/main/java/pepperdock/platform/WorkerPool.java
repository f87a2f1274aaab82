package pepperdock.platform;

import pepperdock.config.DeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.core.LogRateLimiter;
import pepperdock.core.PooledBackend;
import pepperdock.core.WorkerEndpoint;
import pepperdock.transport.Loop;

/** The workers on the platform's frames; a {@link Worker} each. */
public final class WorkerPool extends PooledBackend<Worker> {

    private final Loop loop;
    private final DeploymentSettings site;
    /** One for all workers: a hundred of them may fail in the same second. */
    private final LogRateLimiter notes;

    public WorkerPool(Loop loop, DeploymentSettings site) {
        this.loop = loop;
        this.site = site;
        notes = new LogRateLimiter(System.getLogger("pepperdock.platform"), loop, "bad or unusable frames");
    }

    @Override
    protected Worker createWorker(WorkerEndpoint host, Gatherer core) {
        return new Worker(host.id(), host.address(), loop, site, core, notes);
    }
}
