package pepperdock.scheduler;

import pepperdock.estimate.DecayingCount;
import pepperdock.estimate.PartWork;
import pepperdock.estimate.ServiceTime;

/** Running estimates of the fleet that several policies read, fed by the answers of attempts. All times are seconds. */
final class FleetEstimates {

    /** Weight of one sample in moving averages: some sixty samples, a few seconds of traffic. */
    static final double SAMPLE_GAIN = 1.0 / 64;

    /** Before anything is answered, a part is thought to take this share of the shortest latency objective. */
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

    /** Forgets the work of each class, as the classes are others now. */
    void resetPartWork() {
        int classes = context.settings().classes().size();
        partWork = new PartWork(classes, context.shortestObjectiveS() * INITIAL_PART_TIME_SHARE);
    }

    /** Takes in how long an answer took, in seconds. */
    void addPartTime(AttemptState attempt, double elapsedS) {
        QueryState query = attempt.part.query;
        partTime.add(elapsedS, query.parts.size());
        partWork.add(query.classIndex, elapsedS);
    }

    /** Counts a part that was answered now. */
    void addAnsweredPart() {
        answeredParts.add(1, context.nowS(), context.shortestObjectiveS());
    }

    /** Parts answered within about the last latency objective. */
    double answeredParts() {
        return answeredParts.at(context.nowS(), context.shortestObjectiveS());
    }

    /** When any endpoint last answered a part, in seconds on the batch clock. */
    double lastAnswerAtS() {
        return answeredParts.updatedAt();
    }

    /** Time that a part takes. */
    ServiceTime partTime() {
        return partTime;
    }

    /** Work of a part of each class. */
    PartWork partWork() {
        return partWork;
    }

    /** Mean time of a part plus its mean deviation, in seconds: most parts take no longer. */
    double cautiousPartTimeS() {
        return partTime.meanS() + partTime.deviationS();
    }
}
