package pepperdock.core;

import java.util.List;
import pepperdock.scheduler.EndpointListKind;

/** The node list of the configuration, where nobody can be asked; it changes only with that. */
public final class StaticEndpointList implements EndpointDiscovery {

    private final Clock clock;
    private List<WorkerEndpoint> hosts;
    private Gatherer core;

    public StaticEndpointList(Clock clock, List<WorkerEndpoint> hosts) {
        this.clock = clock;
        this.hosts = List.copyOf(hosts);
    }

    public void start(Gatherer core) {
        this.core = core;
    }

    /** The configuration has been read anew: told at once, as nobody will ask. */
    public void replace(List<WorkerEndpoint> now) {
        hosts = List.copyOf(now);
        watch();
    }

    @Override
    public void watch() {
        clock.after(0, () -> core.onEndpointList(EndpointListKind.COMPLETE, hosts));
    }
}
