package pepperdock.scheduler;

/**
 * Estimates how long a client has waited already when its request arrives.
 *
 * <p>Rule: a client tries again until its class's deadline, and the last request is cut short by it. A request whose remaining
 * time is clearly shorter than the class's moving average is taken for such a last one, and the rest of the deadline counts as
 * spent. Inputs: remaining times in seconds. Reason: the latency objective counts from the client's first request, which this
 * instance may not have seen. Guards against spending capacity on answers that are too late. Harms the few clients that give
 * short timeouts from the start, and only while queries wait.
 */
final class RequestFreshness {

    /** A request with less than this share of the usual remaining time is a last one; network delay takes less. */
    private static final double SHORT_REQUEST_SHARE = 0.9;

    private final SchedulerContext context;
    private double[] usualRemainingS;

    RequestFreshness(SchedulerContext context) {
        this.context = context;
        reset();
    }

    /** Forgets what is usual in each class, as the classes are others now. */
    void reset() {
        usualRemainingS = new double[context.settings().classes().size()];
    }

    /** Takes in a request, and returns the seconds that its client is thought to have spent before. */
    double spentS(int classIndex, QueryClass queryClass, double remainingS) {
        double usualS = usualRemainingS[classIndex] == 0 ? remainingS : usualRemainingS[classIndex];
        usualRemainingS[classIndex] = usualS + FleetEstimates.SAMPLE_GAIN * (remainingS - usualS);
        return remainingS < SHORT_REQUEST_SHARE * usualS ? queryClass.deadlineS() - remainingS : 0;
    }
}
