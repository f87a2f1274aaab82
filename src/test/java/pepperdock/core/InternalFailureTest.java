package pepperdock.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;

/** Injects exceptions into what a gatherer calls: each may cost its own query, and no other one its answer. */
class InternalFailureTest {

    private final GathererFixture fixture = new GathererFixture();
    private final List<String> failingListenerCalls = new ArrayList<>();

    /** A listener that throws whenever an answer or a rejection is given to it. */
    private final QueryListener failingListener = new QueryListener() {
        @Override
        public void onAnswer(Query query, boolean complete) {
            failingListenerCalls.add("answer");
            throw new IllegalStateException("injected");
        }

        @Override
        public void onRejected(Query query, double retryAfterS) {
            failingListenerCalls.add("rejection");
            throw new IllegalStateException("injected");
        }

        @Override
        public void onFailed(Query query, boolean overdue) {
            failingListenerCalls.add("failure");
        }
    };

    private Query submitWithFailingListener(int parts) {
        List<QueryRequest.RequestedPart> requested = new ArrayList<>();
        for (int shard = 0; shard < parts; shard++) {
            requested.add(new QueryRequest.RequestedPart(shard, 1.0 / parts));
        }
        QueryRequest request = new QueryRequest("bad", 0, "", 3, requested, new byte[0], null);
        return fixture.gatherer.submit(request, failingListener);
    }

    private void endAllAttempts() {
        fixture.attemptsInFlight().forEach(attempt -> fixture.endAttempt(attempt, AttemptOutcome.OK));
    }

    /** Guards against a query that ends without any answer because its answer could not be built. */
    @Test
    void queryWhoseAnswerCannotBeGivenIsAnsweredAsFailed() {
        submitWithFailingListener(1);
        fixture.submit(0, 3, 1);
        fixture.clock.advance(0.01);
        endAllAttempts();
        fixture.clock.advance(0.1);
        assertEquals(List.of("answer", "failure"), failingListenerCalls);
        assertEquals(List.of("answered true 1"), fixture.answers, "the other query of the batch");
        assertEquals(0, fixture.gatherer.inFlightQueries());
        Metrics metrics = fixture.gatherer.metrics();
        assertEquals(1, metrics.internalFailures());
        assertEquals(1, metrics.ended("class-0", Metrics.QueryOutcome.SERVED));
        assertEquals(1, metrics.ended("class-0", Metrics.QueryOutcome.FAILED));
        assertEquals(metrics.submittedTotal(), metrics.endedTotal());
    }

    /** Guards against a query that is never answered because its answer does not fit into the heap ({@code review/7}). */
    @Test
    void queryWhoseAnswerExceedsTheHeapIsAnsweredAsFailed() {
        List<String> answers = new ArrayList<>();
        QueryListener tooLarge = new QueryListener() {
            @Override
            public void onAnswer(Query query, boolean complete) {
                throw new OutOfMemoryError("injected");
            }

            @Override
            public void onRejected(Query query, double retryAfterS) {
                answers.add("rejected");
            }

            @Override
            public void onFailed(Query query, boolean overdue) {
                answers.add("failed");
            }
        };
        QueryRequest request =
                new QueryRequest("large", 0, "", 3, List.of(new QueryRequest.RequestedPart(0, 1)), new byte[0], null);
        fixture.gatherer.submit(request, tooLarge);
        fixture.submit(0, 3, 1);
        fixture.clock.advance(0.01);
        endAllAttempts();
        fixture.clock.advance(0.1);
        assertEquals(List.of("failed"), answers);
        assertEquals(List.of("answered true 1"), fixture.answers, "the other query of the batch");
    }

    /** Guards against a shutdown that leaves queries unanswered behind one whose listener fails. */
    @Test
    void shutdownAnswersTheQueriesBehindOneThatFails() {
        submitWithFailingListener(2);
        fixture.submit(0, 3, 2);
        fixture.clock.advance(0.01);
        fixture.gatherer.endAllQueries();
        submitWithFailingListener(2);
        fixture.clock.advance(0.01);
        assertEquals(List.of("rejected 1.0"), fixture.answers);
        assertEquals(List.of("rejection", "failure", "rejection", "failure"), failingListenerCalls);
    }

    /** Guards against calls of a batch that are never sent because the call to another worker failed. */
    @Test
    void failedCallToOneWorkerDoesNotKeepBackTheOthersOfTheBatch() {
        fixture.failingWorkers.addAll(Set.of("w0", "w1"));
        fixture.submit(0, 3, 12);
        fixture.clock.advance(0.2);
        endAllAttempts();
        fixture.clock.advance(0.2);
        endAllAttempts();
        fixture.clock.advance(3);
        assertEquals(1, fixture.answers.size());
        assertTrue(fixture.answers.get(0).startsWith("answered "), fixture.answers.get(0));
        assertTrue(fixture.gatherer.metrics().internalFailures() > 0);
    }

    /** Guards against a scheduler that misses a change of the endpoint list because another listener failed on it. */
    @Test
    void schedulerReceivesAListThatAnotherListenerFailsOn() {
        fixture.gatherer.addEndpointListListener(endpoints -> {
            throw new IllegalStateException("injected");
        });
        fixture.gatherer.onEndpointList(
                EndpointListKind.CHANGES, List.of(GathererFixture.endpoint(0, EndpointState.REMOVED)));
        fixture.clock.advance(0.01);
        fixture.submit(0, 3, 12);
        fixture.clock.advance(0.01);
        assertTrue(fixture.attemptsInFlight().stream()
                .noneMatch(attempt -> attempt.worker().equals("w0")));
        assertEquals(12, fixture.attemptsInFlight().size());
        assertEquals(1, fixture.gatherer.metrics().internalFailures());
    }

    /** Guards against attempts whose results are lost because the listener of served attempts failed. */
    @Test
    void answerCountsThoughTheListenerOfServedAttemptsFails() {
        fixture.gatherer.setServedAttemptListener((attempt, elapsedS) -> {
            throw new IllegalStateException("injected");
        });
        fixture.submit(0, 3, 2);
        fixture.clock.advance(0.01);
        endAllAttempts();
        fixture.clock.advance(0.1);
        assertEquals(List.of("answered true 2"), fixture.answers);
    }
}
