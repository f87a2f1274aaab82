package pepperdock.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.LoadReport;

/**
 * A gatherer whose backend, discovery and clients record the calls that they receive, on a clock that the test
 * advances.
 */
final class GathererFixture implements Backend, QueryListener {

    final ManualClock clock = new ManualClock(1000);
    final List<List<Attempt>> calls = new ArrayList<>();
    final List<Attempt> cancelled = new ArrayList<>();
    final List<String> answers = new ArrayList<>();
    /** Workers to which every call fails with an exception. */
    final Set<String> failingWorkers = new HashSet<>();

    int watchCalls;
    final Gatherer gatherer =
            new Gatherer(TestDeploymentSettings.small().scheduler(), 7, clock, this, () -> watchCalls++);

    GathererFixture() {
        gatherer.onEndpointList(
                EndpointListKind.CACHED,
                List.of(
                        endpoint(0, EndpointState.HEALTHY),
                        endpoint(1, EndpointState.HEALTHY),
                        endpoint(2, EndpointState.HEALTHY),
                        endpoint(3, EndpointState.HEALTHY)));
        clock.advance(0.1);
    }

    static WorkerEndpoint endpoint(int cell, EndpointState state) {
        return new WorkerEndpoint("w" + cell, "127.0.0.1:1", 0, 0, cell, state, 1, 0);
    }

    /** Submits a query of class 0 to 2 over the first shards. */
    Query submit(int queryClass, double timeoutS, int parts) {
        return gatherer.submit(
                new QueryRequest(
                        "q",
                        queryClass,
                        queryClass == 2 ? "k" : "",
                        timeoutS,
                        IntStream.range(0, parts)
                                .mapToObj(shard -> new QueryRequest.RequestedPart(shard, 1.0 / parts))
                                .toList(),
                        new byte[0],
                        null),
                this);
    }

    List<Attempt> attemptsInFlight() {
        return calls.stream()
                .flatMap(List::stream)
                .filter(attempt -> !attempt.hasEnded())
                .toList();
    }

    void endAttempt(Attempt attempt, AttemptOutcome outcome) {
        gatherer.onAttemptEnded(
                attempt, outcome, LoadReport.NONE, outcome == AttemptOutcome.OK ? new byte[] {'v'} : null);
    }

    @Override
    public void sendCall(String worker, List<Attempt> call) {
        if (failingWorkers.contains(worker)) {
            throw new IllegalStateException("injected");
        }
        calls.add(List.copyOf(call));
    }

    @Override
    public void cancel(Attempt attempt) {
        cancelled.add(attempt);
    }

    @Override
    public void checkHealth(String worker) {}

    @Override
    public void closeIdleConnections(String worker) {}

    @Override
    public void updateEndpoints(Map<String, WorkerEndpoint> endpoints) {}

    @Override
    public void onAnswer(Query query, boolean complete) {
        answers.add("answered " + complete + ' '
                + query.parts().stream().filter(part -> part.value() != null).count());
    }

    @Override
    public void onRejected(Query query, double retryAfterS) {
        answers.add("rejected " + retryAfterS);
    }

    @Override
    public void onFailed(Query query, boolean overdue) {
        answers.add("failed " + overdue);
    }
}
