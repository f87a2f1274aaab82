package pepperdock.scheduler;

/**
 * Figures of the protocol that apply to all instances.
 *
 * @param answerSlackS seconds after its deadline in which an answer still counts as in time
 * @param drainGraceS seconds after the notice in which a draining endpoint may still receive attempts
 * @param warmUpInitialShare share of its capacity that a started endpoint has at first, above 0 and up to 1
 * @param warmUpS seconds until a started endpoint has all of its capacity
 * @param warmUpOverloadMultiple work that an endpoint warming up takes within the overload window, as a multiple of its
 *     capacity
 * @param warmUpOverloadWindowS length of the overload window in seconds, 0 where endpoints need no slow start
 * @param retryBudgetFree retries within the budget's window that are always allowed
 * @param retryBudgetShare further retries, as a share of the queries and parts that arrived within the window
 * @param retryBudgetWindowS length of the budget's window in seconds, 0 where retries have no budget
 * @param listPollIntervalS longest age of an endpoint list without a watch, in seconds; 0 where lists are pushed
 */
public record ProtocolRules(
        double answerSlackS,
        double drainGraceS,
        double warmUpInitialShare,
        double warmUpS,
        double warmUpOverloadMultiple,
        double warmUpOverloadWindowS,
        double retryBudgetFree,
        double retryBudgetShare,
        double retryBudgetWindowS,
        double listPollIntervalS) {

    /** Seconds, from when the list could be reached, after which the protocol expects a change of it to be known. */
    private static final double NOTIFICATION_DEADLINE_S = 6;

    /**
     * Returns how long an instance without a watch may use an old list, in seconds: the protocol's limit, or the
     * settings' if that is shorter.
     */
    double maxListAgeS() {
        return listPollIntervalS > 0 ? Math.min(listPollIntervalS, NOTIFICATION_DEADLINE_S) : NOTIFICATION_DEADLINE_S;
    }
}
