package pepperdock.scheduler;

import java.util.ArrayList;
import java.util.List;

/** A query from its arrival to its final answer. Plain data; times are seconds on the batch clock. */
final class QueryState {

    /** Rounding tolerance of sums of weights. */
    static final double COVERAGE_TOLERANCE = 1e-6;

    /** Stage of a query whose class has one stage, and of the others until their first answer. */
    static final int FIRST_STAGE = 1;

    /** Stage after the first answer of a class with {@link QueryClass#secondStageParts}. */
    static final int SECOND_STAGE = 2;

    /** The caller's id, by which actions name the query. */
    final long id;

    /** Number by which {@link PartArrival} names the query. */
    final long sequenceNumber;

    /** Index into {@link SchedulerSettings#classes} at the arrival. */
    final int classIndex;

    /** The class at the arrival; settings that change later leave it. */
    final QueryClass queryClass;

    /** Most attempts at one part. */
    final int maxAttempts;

    /** End of the latency objective, or of this request if that is sooner. */
    double objectiveAtS;

    /** Half of the time that the client waits for this request. */
    double halfTimeAtS;

    /** Until when the client's first request would have been answered within the latency objective. */
    double firstRequestObjectiveAtS;

    /** When the client gives up this request. */
    double endAtS;

    /** {@link #FIRST_STAGE} or {@link #SECOND_STAGE}. */
    int stage = FIRST_STAGE;

    /** Weight of the parts of this stage that are answered, 0 to 1. */
    double coverage;

    /** Answered, rejected, failed or cancelled: nothing more may be done for it. */
    boolean ended;

    /** Its parts have been sent; false while it is queued. */
    boolean dispatched;

    /** Its tenant was beyond its quota when it arrived. */
    boolean overQuota;

    /** The first stage was answered completely. */
    boolean firstStageComplete;

    /** Parts of the present stage. */
    List<PartState> parts = new ArrayList<>();

    QueryState(QueryArrival arrival, QueryClass queryClass, int maxAttempts) {
        id = arrival.id();
        sequenceNumber = arrival.sequenceNumber();
        classIndex = arrival.queryClass();
        this.queryClass = queryClass;
        this.maxAttempts = maxAttempts;
    }
}
