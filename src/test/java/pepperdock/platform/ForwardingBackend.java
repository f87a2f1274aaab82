package pepperdock.platform;

import java.util.List;
import java.util.Map;
import pepperdock.core.Attempt;
import pepperdock.core.Backend;
import pepperdock.core.WorkerEndpoint;

/** A backend that forwards every call to another one; tests override the methods that they observe or disturb. */
public abstract class ForwardingBackend implements Backend {

    private final Backend delegate;

    protected ForwardingBackend(Backend delegate) {
        this.delegate = delegate;
    }

    @Override
    public void sendCall(String worker, List<Attempt> call) {
        delegate.sendCall(worker, call);
    }

    @Override
    public void cancel(Attempt attempt) {
        delegate.cancel(attempt);
    }

    @Override
    public void releaseUnusedAnswer(Attempt attempt, byte[] value) {
        delegate.releaseUnusedAnswer(attempt, value);
    }

    @Override
    public void pollForRetractions() {
        delegate.pollForRetractions();
    }

    @Override
    public void checkHealth(String worker) {
        delegate.checkHealth(worker);
    }

    @Override
    public void closeIdleConnections(String worker) {
        delegate.closeIdleConnections(worker);
    }

    @Override
    public void updateEndpoints(Map<String, WorkerEndpoint> endpoints) {
        delegate.updateEndpoints(endpoints);
    }
}
