package pepperdock.scheduler;

/**
 * Figures of the rules. {@code budgetSpanS} is 0 where further attempts have no budget; {@code askWithinS} is 0
 * where lists come unasked.
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

    /** The protocol's: whatever a call missed counts as told so long after the list could be reached. */
    private static final double NOTIFICATION_DEADLINE_S = 6;

    /** How long an instance without a watch may hold an old list, in seconds: by the protocol, or less by the settings. */
    double maxListAgeS() {
        return listPollIntervalS > 0 ? Math.min(listPollIntervalS, NOTIFICATION_DEADLINE_S) : NOTIFICATION_DEADLINE_S;
    }
}
