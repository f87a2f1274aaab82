package pepperdock.platform;

import pepperdock.config.Site;
import pepperdock.core.Gatherer;
import pepperdock.core.Host;
import pepperdock.core.LogBudget;
import pepperdock.core.PooledBackend;
import pepperdock.net.Loop;

/** The workers on the platform's frames; a {@link Worker} each. */
public final class WorkerPool extends PooledBackend<Worker> {

    private final Loop loop;
    private final Site site;
    /** One for all workers: a hundred of them may fail in the same second. */
    private final LogBudget notes;

    public WorkerPool(Loop loop, Site site) {
        this.loop = loop;
        this.site = site;
        notes = new LogBudget(System.getLogger("pepperdock.platform"), loop, "bad or unusable frames");
    }

    @Override
    protected Worker make(Host host, Gatherer core) {
        return new Worker(host.id(), host.dial(), loop, site, core, notes);
    }
}
