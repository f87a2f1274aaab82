package pepperdock.faultinjection.upgrade;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleFunction;

/** Holds requests of clients, and what workers got for them, against the rules of the protocol page. Stateless. */
public final class RequestChecker {

    /** An attempt that begins later than this after its client has left is a break. */
    private static final double CLIENT_GONE_GRACE_S = 0.1;

    private static final double DEADLINE_SLACK_S = 0.15;
    /** A process that is killed resets its connections; the client sees that within this time. */
    private static final double KILL_EXCUSE_S = 0.3;

    private RequestChecker() {}

    /**
     * Returns what breaks a rule, a line each.
     *
     * @param kills when the gatherer was killed: a request that it had then is not lost
     * @param time formats a time of the rig for a finding
     */
    public static List<String> check(
            Collection<ClientStub.Request> requests,
            Collection<WorkerStub.Send> sends,
            Collection<Double> kills,
            DoubleFunction<String> time) {
        List<ClientStub.Request> allRequests = List.copyOf(requests);
        List<String> findings = new ArrayList<>();
        for (ClientStub.Request request : allRequests) {
            if (request.outcome() == ClientStub.Outcome.LOST && !isExcused(request, List.copyOf(kills))) {
                findings.add("lost: query " + request.id() + " sent at " + time.apply(request.sentAtS()) + " with "
                        + request.timeoutS() + " s, " + request.detail() + " at " + time.apply(request.endedAtS()));
            }
        }
        Map<String, ClientStub.Request> requestsById = new HashMap<>();
        allRequests.forEach(request -> requestsById.put(request.id(), request));
        for (WorkerStub.Send send : List.copyOf(sends)) {
            ClientStub.Request request = requestsById.get(send.queryId());
            if (request != null) {
                checkSend(send, request, time, findings);
            }
        }
        return findings;
    }

    private static boolean isExcused(ClientStub.Request request, List<Double> kills) {
        return kills.stream()
                .anyMatch(killAtS ->
                        killAtS >= request.sentAtS() - KILL_EXCUSE_S && killAtS <= request.endedAtS() + KILL_EXCUSE_S);
    }

    private static void checkSend(
            WorkerStub.Send send, ClientStub.Request request, DoubleFunction<String> time, List<String> findings) {
        if (request.outcome() == ClientStub.Outcome.LEFT && send.atS() > request.endedAtS() + CLIENT_GONE_GRACE_S) {
            findings.add("gone: query " + send.queryId() + " sent at " + time.apply(send.atS())
                    + ", its client left at " + time.apply(request.endedAtS()));
        }
        double leftS = request.sentAtS() + request.timeoutS() - send.atS();
        if (send.deadlineMs() / 1e3 > leftS + DEADLINE_SLACK_S) {
            findings.add("deadline: query " + send.queryId() + " sent at " + time.apply(send.atS()) + " with "
                    + send.deadlineMs() + " ms, its client waits " + leftS + " s");
        }
    }
}
