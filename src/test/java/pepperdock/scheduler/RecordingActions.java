package pepperdock.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Records the actions of a scheduler, in order. */
final class RecordingActions implements SchedulerActions {

    /** An attempt that the scheduler sent. */
    record Sent(long part, String endpointId, double until) {}

    final List<String> recorded = new ArrayList<>();
    final List<Sent> sends = new ArrayList<>();
    /** The part whose attempts can't be sent: each fails with an exception. */
    long failingPart = -1;

    @Override
    public void sendAttempt(long part, String endpointId, double until) {
        if (part == failingPart) {
            throw new IllegalStateException("injected");
        }
        sends.add(new Sent(part, endpointId, until));
        recorded.add("send " + part + " " + endpointId + " " + until);
    }

    @Override
    public void cancelAttempt(long part, int attempt) {
        recorded.add("cancel " + part + " " + attempt);
    }

    @Override
    public void answerQuery(long query, boolean complete) {
        recorded.add("answer " + query + " " + complete);
    }

    @Override
    public void rejectQuery(long query, double retryAfterS) {
        recorded.add("reject " + query);
    }

    @Override
    public void failQuery(long query) {
        recorded.add("fail " + query);
    }

    @Override
    public void onDecisionFailed(long query, RuntimeException cause) {
        if (failingPart < 0) {
            throw cause;
        }
        recorded.add("decision failed " + query);
    }

    @Override
    public void checkHealth(String endpointId) {
        recorded.add("check health " + endpointId);
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        recorded.add("close idle " + endpointId);
    }

    @Override
    public void setTimer(double afterS, String token) {
        recorded.add("timer");
    }

    @Override
    public void watchEndpointList() {
        recorded.add("subscribe");
    }

    @Override
    public void log(String text) {
        recorded.add("log " + text);
    }

    /** Returns the number of recorded actions that start with {@code start}. */
    long count(String start) {
        return recorded.stream().filter(a -> a.startsWith(start)).count();
    }

    /** Returns the answers, rejections and failures of a query. */
    List<String> endings(long query) {
        return recorded.stream()
                .filter(a -> a.matches("(answer|reject|fail) " + query + "( .*)?"))
                .collect(Collectors.toList());
    }

    /** Returns the parts of the attempts sent, in order. */
    List<Long> sentParts() {
        return sends.stream().map(Sent::part).toList();
    }

    void clear() {
        recorded.clear();
        sends.clear();
    }
}
