package pepperdock.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import pepperdock.config.Sites;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.LoadReport;

/** A core between a backend, a discovery and clients that write down what they are told, on a clock moved by hand. */
final class Bench implements Backend, QueryListener {

    final ManualClock clock = new ManualClock(1000);
    final List<List<Attempt>> calls = new ArrayList<>();
    final List<Attempt> cancelled = new ArrayList<>();
    final List<String> answers = new ArrayList<>();
    int subscribed;
    final Gatherer core = new Gatherer(Sites.small().module(), 7, clock, this, () -> subscribed++);

    Bench() {
        core.onEndpointList(
                EndpointListKind.CACHED,
                List.of(
                        host(0, EndpointState.HEALTHY),
                        host(1, EndpointState.HEALTHY),
                        host(2, EndpointState.HEALTHY),
                        host(3, EndpointState.HEALTHY)));
        clock.advance(0.1);
    }

    static WorkerEndpoint host(int cell, EndpointState readiness) {
        return new WorkerEndpoint("w" + cell, "127.0.0.1:1", 0, 0, cell, readiness, 1, 0);
    }

    /** A query of class 0 to 2 over the first shards. */
    Query ask(int queryClass, double timeoutS, int parts) {
        return core.submit(
                new QueryRequest(
                        "q",
                        queryClass,
                        queryClass == 2 ? "k" : "",
                        timeoutS,
                        IntStream.range(0, parts)
                                .mapToObj(s -> new QueryRequest.RequestedPart(s, 1.0 / parts))
                                .toList(),
                        new byte[0],
                        null),
                this);
    }

    List<Attempt> out() {
        return calls.stream().flatMap(List::stream).filter(a -> !a.hasEnded()).toList();
    }

    void end(Attempt a, AttemptOutcome outcome) {
        core.onAttemptEnded(a, outcome, LoadReport.NONE, outcome == AttemptOutcome.OK ? new byte[] {'v'} : null);
    }

    @Override
    public void sendCall(String worker, List<Attempt> call) {
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
    public void updateEndpoints(Map<String, WorkerEndpoint> hosts) {}

    @Override
    public void onAnswer(Query q, boolean whole) {
        answers.add("answered " + whole + ' '
                + q.parts().stream().filter(p -> p.value() != null).count());
    }

    @Override
    public void onRejected(Query q, double pauseS) {
        answers.add("refused " + pauseS);
    }

    @Override
    public void onFailed(Query q, boolean overdue) {
        answers.add("failed " + overdue);
    }
}
