package pepperdock.scheduler;

import java.util.ArrayList;
import java.util.List;
import pepperdock.estimate.PartWork;

/**
 * A query from its arrival to its final answer. Plain data; times are seconds on the batch clock.
 *
 * <p>A query may outlive the list of classes in force on its arrival. It therefore holds what it needs of its class, and
 * not the number of its class, which may mean another class later, or none.
 */
final class QueryState {

    /** Tolerance for rounding in sums of weights. */
    static final double COVERAGE_TOLERANCE = 1e-6;

    /** The only stage of a query whose class has one stage, and the stage of other queries until their first answer. */
    static final int FIRST_STAGE = 1;

    /** Stage after the first answer, for classes with {@link QueryClass#secondStageParts}. */
    static final int SECOND_STAGE = 2;

    /** The caller's id, which identifies the query in actions. */
    final long id;

    /** Number by which {@link PartArrival} refers to the query. */
    final long sequenceNumber;

    /** The class when the query arrived; later changes of the settings don't affect it. */
    final QueryClass queryClass;

    /** Estimated work of a part of the class when the query arrived. */
    final PartWork.ClassEstimate classWork;

    /** Maximum number of attempts at one part. */
    final int maxAttempts;

    /** End of the latency objective, or of this request if that is sooner. */
    double objectiveAtS;

    /** When half of the time that the client waits for this request has passed. */
    double halfTimeAtS;

    /** End of the latency objective as counted from the client's first request. */
    double firstRequestObjectiveAtS;

    /** When the client gives up this request. */
    double deadlineAtS;

    /** Current stage: {@link #FIRST_STAGE} or {@link #SECOND_STAGE}. */
    int stage = FIRST_STAGE;

    /** Weight of the parts of this stage that are answered, 0 to 1. */
    double coverage;

    /** Whether it was answered, rejected, failed or cancelled; nothing more may be done for it then. */
    boolean ended;

    /** Whether its parts have been sent; false while it is queued. */
    boolean dispatched;

    /** Whether its tenant was over its quota when the query arrived. */
    boolean overQuota;

    /** Whether the first stage was answered completely. */
    boolean firstStageComplete;

    /** Parts of the current stage. */
    List<PartState> parts = new ArrayList<>();

    QueryState(QueryArrival arrival, QueryClass queryClass, PartWork.ClassEstimate classWork, int maxAttempts) {
        id = arrival.id();
        sequenceNumber = arrival.sequenceNumber();
        this.queryClass = queryClass;
        this.classWork = classWork;
        this.maxAttempts = maxAttempts;
    }
}
