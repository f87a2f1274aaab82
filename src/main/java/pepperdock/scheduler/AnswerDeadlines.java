package pepperdock.scheduler;

/** Computes the latest times at which an answer is worth sending. All times are seconds on the batch clock. */
final class AnswerDeadlines {

    /** Ticks that an answer needs to leave this process in time, in addition to the sweep period. */
    private static final int RESPONSE_TICKS = 3;

    private final SchedulerContext context;

    AnswerDeadlines(SchedulerContext context) {
        this.context = context;
    }

    /**
     * Returns the time reserved before a deadline, in seconds: the next sweep may come one period later, and sending
     * the response takes time.
     */
    double marginS() {
        return (SweepTimer.PERIOD_TICKS + RESPONSE_TICKS) * context.settings().tickS();
    }

    /**
     * Returns the time until which an answer to the query has any value: the client's deadline where a late answer
     * counts, otherwise the latency objective, in both cases less the margin.
     */
    double answerUntilS(QueryState query) {
        double lastS = query.queryClass.lateAnswerWeight() > 0
                ? query.deadlineAtS
                : Math.min(query.objectiveAtS, query.deadlineAtS);
        return lastS - marginS();
    }
}
