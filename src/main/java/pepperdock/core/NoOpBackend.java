package pepperdock.core;

import java.util.List;
import java.util.Map;

/** A backend whose methods do nothing; benchmarks, simulations and tests override the methods that they need. */
public class NoOpBackend implements Backend {

    @Override
    public void sendCall(String worker, List<Attempt> call) {}

    @Override
    public void cancel(Attempt attempt) {}

    @Override
    public void checkHealth(String worker) {}

    @Override
    public void closeIdleConnections(String worker) {}

    @Override
    public void updateEndpoints(Map<String, WorkerEndpoint> endpoints) {}
}
