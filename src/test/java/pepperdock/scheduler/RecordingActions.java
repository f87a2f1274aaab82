package pepperdock.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Records the actions of a scheduler, in order. */
final class RecordingActions implements SchedulerActions {

    /** An attempt that the scheduler sent. */
    record Sent(long part, String endpointId, double until) {}

    final List<String> all = new ArrayList<>();
    final List<Sent> sends = new ArrayList<>();

    @Override
    public void sendAttempt(long part, String endpointId, double until) {
        sends.add(new Sent(part, endpointId, until));
        all.add("send " + part + " " + endpointId + " " + until);
    }

    @Override
    public void cancelAttempt(long part, int attempt) {
        all.add("cancel " + part + " " + attempt);
    }

    @Override
    public void answerQuery(long query, boolean complete) {
        all.add("answer " + query + " " + complete);
    }

    @Override
    public void rejectQuery(long query, double retryAfterS) {
        all.add("reject " + query);
    }

    @Override
    public void failQuery(long query) {
        all.add("fail " + query);
    }

    @Override
    public void checkHealth(String endpointId) {
        all.add("probe " + endpointId);
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        all.add("drop " + endpointId);
    }

    @Override
    public void setTimer(double afterS, String token) {
        all.add("timer");
    }

    @Override
    public void watchEndpointList() {
        all.add("subscribe");
    }

    @Override
    public void log(String text) {
        all.add("log " + text);
    }

    /** Returns the number of recorded actions that start with {@code start}. */
    long count(String start) {
        return all.stream().filter(a -> a.startsWith(start)).count();
    }

    /** Returns the answers, rejections and failures of a query. */
    List<String> endings(long query) {
        return all.stream()
                .filter(a -> a.matches("(answer|reject|fail) " + query + "( .*)?"))
                .collect(Collectors.toList());
    }

    /** Returns the parts of the attempts sent, in order. */
    List<Long> sentParts() {
        return sends.stream().map(Sent::part).toList();
    }

    void clear() {
        all.clear();
        sends.clear();
    }
}
