package pepperdock.scheduler;

import pepperdock.estimate.DecayingCount;
import pepperdock.estimate.PartWork;
import pepperdock.estimate.ServiceTime;

/**
 * Running estimates about the fleet that several policies use, updated with each answered attempt. All times are
 * seconds.
 */
final class FleetEstimates {

    /** Weight of one sample in moving averages, which thus span about sixty samples: a few seconds of traffic. */
    static final double SAMPLE_GAIN = 1.0 / 64;

    /** Assumed part time before anything is answered, as a share of the shortest latency objective. */
    private static final double INITIAL_PART_TIME_SHARE = 0.15;

    private final SchedulerContext context;
    private final ServiceTime partTime;
    private final DecayingCount answeredParts = new DecayingCount();
    private PartWork partWork;

    FleetEstimates(SchedulerContext context) {
        this.context = context;
        partTime = new ServiceTime(context.shortestObjectiveS() * INITIAL_PART_TIME_SHARE);
        resetPartWork();
    }

    /**
     * Discards the estimated work of each class, because the classes have changed. Open queries keep the estimate of
     * their class, and no longer contribute to those of the new classes.
     */
    void resetPartWork() {
        int classes = context.settings().classes().size();
        partWork = new PartWork(classes, context.shortestObjectiveS() * INITIAL_PART_TIME_SHARE);
    }

    /** Records how long an answer took, in seconds. */
    void addPartTime(AttemptState attempt, double elapsedS) {
        QueryState query = attempt.part.query;
        partTime.add(elapsedS, query.parts.size());
        query.classWork.add(elapsedS);
    }

    /** Counts a part that is answered now. */
    void addAnsweredPart() {
        answeredParts.add(1, context.nowS(), context.shortestObjectiveS());
    }

    /** Returns the parts answered within about the last shortest latency objective. */
    double answeredParts() {
        return answeredParts.at(context.nowS(), context.shortestObjectiveS());
    }

    /** Returns when any endpoint last answered a part, in seconds on the batch clock. */
    double lastAnswerAtS() {
        return answeredParts.updatedAt();
    }

    /** Returns the estimate of the time that a part takes. */
    ServiceTime partTime() {
        return partTime;
    }

    /** Returns the estimate of the work of a part of each class. */
    PartWork partWork() {
        return partWork;
    }

    /** Returns the mean time of a part plus its mean deviation, in seconds: most parts take no longer. */
    double conservativePartTimeS() {
        return partTime.meanS() + partTime.deviationS();
    }
}
