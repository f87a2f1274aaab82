package pepperdock.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import pepperdock.aggregator.Aggregator.ListKind;
import pepperdock.aggregator.Aggregator.Outcome;
import pepperdock.aggregator.Aggregator.Readiness;
import pepperdock.config.Sites;

/** A core between a backend, a discovery and clients that write down what they are told, on a clock moved by hand. */
final class Bench implements Backend, Client {

    final ManualClock clock = new ManualClock(1000);
    final List<List<Attempt>> calls = new ArrayList<>();
    final List<Attempt> cancelled = new ArrayList<>();
    final List<String> answers = new ArrayList<>();
    int subscribed;
    final Gatherer core = new Gatherer(Sites.small().module(), 7, clock, this, () -> subscribed++);

    Bench() {
        core.listed(
                ListKind.HELD,
                List.of(
                        host(0, Readiness.HEALTHY),
                        host(1, Readiness.HEALTHY),
                        host(2, Readiness.HEALTHY),
                        host(3, Readiness.HEALTHY)));
        clock.advance(0.1);
    }

    static Host host(int cell, Readiness readiness) {
        return new Host("w" + cell, "127.0.0.1:1", 0, 0, cell, readiness, 1, 0);
    }

    /** A query of class 0 to 2 over the first shards. */
    Query ask(int queryClass, double timeoutS, int parts) {
        return core.take(
                new Ask(
                        "q",
                        queryClass,
                        queryClass == 2 ? "k" : "",
                        timeoutS,
                        IntStream.range(0, parts)
                                .mapToObj(s -> new Ask.Piece(s, 1.0 / parts))
                                .toList(),
                        new byte[0],
                        null),
                this);
    }

    List<Attempt> out() {
        return calls.stream().flatMap(List::stream).filter(a -> !a.over()).toList();
    }

    void end(Attempt a, Outcome outcome) {
        core.ended(a, outcome, null, outcome == Outcome.OK ? new byte[] {'v'} : null);
    }

    @Override
    public void send(String worker, List<Attempt> call) {
        calls.add(List.copyOf(call));
    }

    @Override
    public void cancel(Attempt attempt) {
        cancelled.add(attempt);
    }

    @Override
    public void probe(String worker) {}

    @Override
    public void dropConnections(String worker) {}

    @Override
    public void listed(Map<String, Host> hosts) {}

    @Override
    public void answered(Query q, boolean whole) {
        answers.add("answered " + whole + ' '
                + q.parts().stream().filter(p -> p.value() != null).count());
    }

    @Override
    public void refused(Query q, double pauseS) {
        answers.add("refused " + pauseS);
    }

    @Override
    public void failed(Query q, boolean overdue) {
        answers.add("failed " + overdue);
    }
}
