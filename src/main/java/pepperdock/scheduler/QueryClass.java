package pepperdock.scheduler;

/**
 * One class of query.
 *
 * @param aimS an answer within this time of the client's first try earns its full worth
 * @param deadlineS how long the client waits in all, over all its tries
 * @param lateWorth share of the worth that an answer after the aim earns
 * @param floor least share of parts' weight an answer may be given from
 * @param need share of the weight that makes a whole answer
 * @param partialWorth what an answer that is not whole earns, times its share
 * @param secondStep parts that follow the first answer; 0 when the class has one step
 * @param windowS for keyed parts: how long repeats are recognised, from the first attempt
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
