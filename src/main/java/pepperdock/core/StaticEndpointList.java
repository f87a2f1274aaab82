package pepperdock.core;

import java.util.List;
import pepperdock.scheduler.EndpointListKind;

/**
 * Endpoint list from the configuration, for deployments without discovery; it changes only when the configuration is
 * reloaded.
 */
public final class StaticEndpointList implements EndpointDiscovery {

    private final Clock clock;
    private List<WorkerEndpoint> endpoints;
    private Gatherer gatherer;

    /** Creates a list of these endpoints; {@link #start} must be called before the first use. */
    public StaticEndpointList(Clock clock, List<WorkerEndpoint> endpoints) {
        this.clock = clock;
        this.endpoints = List.copyOf(endpoints);
    }

    /** Sets the gatherer that receives the list. */
    public void start(Gatherer gatherer) {
        this.gatherer = gatherer;
    }

    /** Replaces the list after a reload and reports it without waiting for a call to {@link #watch}. */
    public void replace(List<WorkerEndpoint> replacement) {
        endpoints = List.copyOf(replacement);
        watch();
    }

    @Override
    public void watch() {
        clock.after(0, () -> gatherer.onEndpointList(EndpointListKind.COMPLETE, endpoints));
    }
}
