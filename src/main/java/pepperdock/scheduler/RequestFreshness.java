package pepperdock.scheduler;

/**
 * Estimates how long a client has already waited when its request arrives.
 *
 * <p>A client retries until its class's deadline, which cuts its last request short. A request whose remaining time is
 * clearly shorter than the class's moving average is taken for such a last request, and the rest of the deadline counts
 * as spent. Inputs are remaining times in seconds. The estimate is needed because the latency objective counts from the
 * client's first request, which this instance may not have seen.
 *
 * <p>This guards against spending capacity on answers that are too late. It does harm to the few clients that give
 * short timeouts from the start, and only while queries are queued.
 */
final class RequestFreshness {

    /**
     * Share of the usual remaining time below which a request is taken for a last one; network delay takes less than
     * the rest.
     */
    private static final double SHORT_REQUEST_SHARE = 0.9;

    private final SchedulerContext context;
    private double[] meanRemainingS;

    RequestFreshness(SchedulerContext context) {
        this.context = context;
        reset();
    }

    /** Discards the averages of all classes, because the classes have changed. */
    void reset() {
        meanRemainingS = new double[context.settings().classes().size()];
    }

    /** Records a request, and returns the seconds that its client has probably waited before it. */
    double alreadyWaitedS(int classIndex, QueryClass queryClass, double remainingS) {
        double meanS = meanRemainingS[classIndex] == 0 ? remainingS : meanRemainingS[classIndex];
        meanRemainingS[classIndex] = meanS + FleetEstimates.SAMPLE_GAIN * (remainingS - meanS);
        return remainingS < SHORT_REQUEST_SHARE * meanS ? queryClass.deadlineS() - remainingS : 0;
    }
}
