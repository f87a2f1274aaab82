package pepperdock.scheduler;

/**
 * One class of queries. Weights are relative values of an answer and serve to compare classes; coverage is the sum of
 * the weights of a query's parts, 1 for all of them.
 *
 * @param latencyObjectiveS seconds from the client's first request within which an answer has its full value
 * @param deadlineS total seconds that the client waits, over all its requests
 * @param priorityWeight value of a complete answer within the objective
 * @param lateAnswerWeight share of the value that an answer after the objective keeps, 0 where it has none
 * @param retrySafety whether a part may be repeated
 * @param idempotencyWindowS for parts with an idempotency key: seconds from the first attempt in which endpoints
 *     recognise a repeat
 * @param minimumCoverage least coverage from which an answer may be given, above 0
 * @param completeCoverage coverage from which an answer is complete, up to 1
 * @param partialAnswerWeight value of an incomplete answer, times its coverage
 * @param secondStageParts number of parts that follow the first answer, 0 where the class has one stage
 */
public record QueryClass(
        double latencyObjectiveS,
        double deadlineS,
        double priorityWeight,
        double lateAnswerWeight,
        RetrySafety retrySafety,
        double idempotencyWindowS,
        double minimumCoverage,
        double completeCoverage,
        double partialAnswerWeight,
        int secondStageParts) {}
