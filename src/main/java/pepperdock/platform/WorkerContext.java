package pepperdock.platform;

import java.util.List;
import pepperdock.config.DeploymentSettings;
import pepperdock.core.Attempt;
import pepperdock.core.Gatherer;
import pepperdock.core.LogRateLimiter;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.LoadReport;
import pepperdock.transport.EventLoop;

/**
 * The context shared by all connections to one worker. Immutable; the objects that it refers to are used on the loop's
 * thread only.
 *
 * @param workerId the endpoint's id in the endpoint list
 * @param loop the event loop that owns all state, with its clock and timers
 * @param settings the settings of this deployment
 * @param core receives the outcomes of attempts and health checks
 * @param log for frames that are malformed or rejected
 * @param unreportedResults the connections whose newest results are not reported to the scheduler yet
 */
record WorkerContext(
        String workerId,
        EventLoop loop,
        DeploymentSettings settings,
        Gatherer core,
        LogRateLimiter log,
        UnreportedResults unreportedResults) {

    /** Ends each attempt of a call with an outcome that no worker reported. */
    void endAttempts(List<Attempt> call, AttemptOutcome outcome) {
        for (Attempt attempt : call) {
            core.onAttemptEnded(attempt, outcome, LoadReport.NONE, null);
        }
    }
}
