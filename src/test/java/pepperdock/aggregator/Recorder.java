package pepperdock.aggregator;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Actions written down, in order, and the settings and lists that tests build their scenes from. */
final class Recorder implements Aggregator.Actions {

    record Sent(long part, String searcher, double until) {}

    final List<String> all = new ArrayList<>();
    final List<Sent> sends = new ArrayList<>();

    @Override
    public void send(long part, String searcher, double until) {
        sends.add(new Sent(part, searcher, until));
        all.add("send " + part + " " + searcher + " " + until);
    }

    @Override
    public void cancel(long part, int attempt) {
        all.add("cancel " + part + " " + attempt);
    }

    @Override
    public void answer(long query, boolean whole) {
        all.add("answer " + query + " " + whole);
    }

    @Override
    public void refuse(long query, double pauseS) {
        all.add("refuse " + query);
    }

    @Override
    public void fail(long query) {
        all.add("fail " + query);
    }

    @Override
    public void probe(String searcher) {
        all.add("probe " + searcher);
    }

    @Override
    public void dropConnections(String searcher) {
        all.add("drop " + searcher);
    }

    @Override
    public void setTimer(double afterS, String token) {
        all.add("timer");
    }

    @Override
    public void subscribe() {
        all.add("subscribe");
    }

    @Override
    public void log(String text) {
        all.add("log " + text);
    }

    long count(String start) {
        return all.stream().filter(a -> a.startsWith(start)).count();
    }

    /** The final answers and second-step answers given to a query. */
    List<String> endings(long query) {
        return all.stream()
                .filter(a -> a.matches("(answer|refuse|fail) " + query + "( .*)?"))
                .collect(Collectors.toList());
    }

    List<Long> sentParts() {
        return sends.stream().map(Sent::part).toList();
    }

    void clear() {
        all.clear();
        sends.clear();
    }
}
