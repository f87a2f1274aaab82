package pepperdock.scheduler;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Ejects endpoints that fail clearly more often than the fleet, and readmits them after a successful trial.
 *
 * <p>An endpoint's failure rate is a moving average of its outcomes, with 1 for a failure and 0 for a timely answer.
 * The endpoint is an outlier, and ejected, while it is unreachable, or while its rate exceeds both
 * {@link #EJECTED_RATE} and the fleet's rate plus {@link #CLEARLY_WORSE_RATE}. An ejected endpoint receives one attempt
 * at a time as a trial, after a backoff that doubles; a budget limits the trials of all endpoints together. The path to
 * a zone has a failure rate of its own, which applies to each endpoint of the zone that has not answered in time since
 * the path became degraded.
 *
 * <p>Inputs are the outcomes of this instance's attempts; rates are 0 to 1, times are seconds. This guards against
 * endpoints, and paths between zones, that fail, are slow or give no answer. The zone's rate detects a cut path within
 * part of one query instead of endpoint by endpoint; the comparison with the fleet keeps a shared fault from
 * concentrating traffic on a few endpoints. Until a trial, ejection does harm where the failure rate is out of date or
 * where many endpoints of one zone fail independently.
 */
final class OutlierDetector {

    /**
     * Difference in failure rate from which an endpoint or path is clearly worse than another: two failures in a row.
     */
    static final double CLEARLY_WORSE_RATE = 0.4;

    /** Weight of one outcome in an endpoint's failure rate: two failures in a row eject it, one does not. */
    private static final double ENDPOINT_GAIN = 0.35;

    /** Failure rate above which an endpoint is ejected. */
    private static final double EJECTED_RATE = 0.5;

    /** Weight of one outcome in a zone's failure rate, which thus spans about sixteen outcomes: part of one query. */
    private static final double ZONE_GAIN = 1.0 / 16;

    /**
     * First backoff before a trial, as a share of the shortest latency objective; it is short because a short fault is
     * soon over.
     */
    private static final double FIRST_BACKOFF_SHARE = 0.25;

    /**
     * Longest backoff before a trial, in shortest latency objectives, so that a recovered endpoint is found before
     * clients give up.
     */
    private static final double MAX_BACKOFF_OBJECTIVES = 2;

    /** Trials that a first attempt adds to the budget; few, so that ejected endpoints cost each query little. */
    private static final double TRIALS_PER_FIRST_ATTEMPT = 0.007;

    /** Most trials that first attempts can save up, so that a quiet hour is not followed by a burst of trials. */
    private static final double MAX_TRIALS_FROM_ATTEMPTS = 2;

    /**
     * Trials that a successful trial adds to the budget, so that all endpoints are soon readmitted after a shared
     * fault.
     */
    private static final double TRIALS_PER_SUCCESS = 1.5;

    /** Most trials that successful trials can save up. */
    private static final double MAX_TRIALS_FROM_SUCCESSES = 3;

    private final SchedulerContext context;
    private final EndpointRegistry registry;
    private final Map<Integer, ZoneRecord> zones = new LinkedHashMap<>();
    private double fleetFailureRate;
    private double savedTrials = MAX_TRIALS_FROM_ATTEMPTS;
    private double nextUnbudgetedTrialAtS;

    OutlierDetector(SchedulerContext context, EndpointRegistry registry) {
        this.context = context;
        this.registry = registry;
    }

    /** Returns whether the endpoint is ejected: unreachable, or at present clearly worse than the fleet. */
    boolean isOutlier(EndpointRecord endpoint) {
        return endpoint.unreachable
                || failureRate(endpoint) > Math.max(EJECTED_RATE, fleetFailureRate + CLEARLY_WORSE_RATE);
    }

    /**
     * Returns the endpoint's failure rate, 0 to 1, or that of its zone if that is worse and the endpoint has not
     * answered in time since the zone became degraded.
     */
    double failureRate(EndpointRecord endpoint) {
        return endpoint.lastTimelySentAtS < zone(endpoint).degradedSinceS
                ? Math.max(endpoint.failureRate, zone(endpoint).failureRate)
                : endpoint.failureRate;
    }

    /** Returns whether an attempt at the endpoint is justified: it is not ejected, or a trial is due. */
    boolean isAvailable(EndpointRecord endpoint) {
        return !isOutlier(endpoint) || isTrialDue(endpoint);
    }

    /**
     * Returns whether the endpoint has answered within the last shortest objective. Queries that only such an endpoint
     * may serve are not rejected without an attempt. This guards against rejections where one replica fails now and
     * then and another is a little slow; it does harm, for one objective at most, where both have just stopped
     * answering.
     */
    boolean hasAnsweredRecently(EndpointRecord endpoint) {
        return !endpoint.unreachable && context.nowS() - endpoint.lastOkAtS < context.shortestObjectiveS();
    }

    /** Returns whether a trial of an ejected endpoint is due. */
    boolean isTrialDue(EndpointRecord endpoint) {
        double dueAtS = zone(endpoint).failureRate > CLEARLY_WORSE_RATE
                ? Math.max(endpoint.nextTrialAtS, zone(endpoint).nextTrialAtS)
                : endpoint.nextTrialAtS;
        return endpoint.outstanding.stream().allMatch(attempt -> attempt.overdue)
                && context.nowS() >= dueAtS
                && (savedTrials >= 1 || context.nowS() >= nextUnbudgetedTrialAtS);
    }

    /**
     * Returns whether the endpoint responds with errors while no replica of the part is available: an error costs only
     * a call, and the next attempt may be answered. This guards against rejections while the healthy replica is
     * draining; it does harm where the errors come from overload.
     */
    boolean isLastResort(PartState part, EndpointRecord endpoint) {
        return endpoint.respondsWithErrors
                && registry.replicas(part.shard).stream().noneMatch(this::isAvailable);
    }

    /**
     * Returns whether fewer than half of the usable endpoints are ejected. It checks every endpoint, so it is not meant
     * to be called for every part.
     */
    boolean isMostOfFleetHealthy() {
        long usable =
                registry.all().stream().filter(endpoint -> endpoint.usable).count();
        long ejected = registry.all().stream()
                .filter(endpoint -> endpoint.usable && isOutlier(endpoint))
                .count();
        return 2 * ejected < usable;
    }

    /** Returns whether the endpoint is ejected and has received no attempt for the longest backoff. */
    boolean isAvoided(EndpointRecord endpoint) {
        if (!isOutlier(endpoint)) {
            return false;
        }
        CallState call = endpoint.lastCall;
        return call == null || context.nowS() - call.sentAtS > MAX_BACKOFF_OBJECTIVES * context.shortestObjectiveS();
    }

    /** Counts a failure of the endpoint. */
    void onFailure(EndpointRecord endpoint) {
        boolean wasOutlier = isOutlier(endpoint);
        addOutcome(endpoint, 1);
        startBackoffIfEjected(endpoint, wasOutlier);
    }

    /** Counts a failure that shows that the endpoint can't be reached. */
    void onUnreachable(EndpointRecord endpoint) {
        boolean wasOutlier = isOutlier(endpoint);
        addOutcome(endpoint, 1);
        endpoint.failureRate = 1;
        endpoint.unreachable = true;
        startBackoffIfEjected(endpoint, wasOutlier);
    }

    /** Counts a rejection as overloaded by the endpoint; one such response ejects it. */
    void onOverloaded(EndpointRecord endpoint) {
        endpoint.failureRate = Math.max(endpoint.failureRate, EJECTED_RATE);
        onFailure(endpoint);
    }

    /** Counts a timely answer; {@code failure} is above 0, up to 1, if the answer was slow. */
    void onTimelyAnswer(AttemptState attempt, double failure) {
        EndpointRecord endpoint = attempt.endpoint;
        addOutcome(endpoint, failure);
        endpoint.lastTimelySentAtS = attempt.sentAtS;
        if (attempt.trial) {
            zone(endpoint).nextTrialAtS = context.nowS();
            savedTrials = Math.min(MAX_TRIALS_FROM_SUCCESSES, savedTrials + TRIALS_PER_SUCCESS);
        }
    }

    /** Clears the failures seen so far, because the endpoint did not cause them. */
    void clearFailures(EndpointRecord endpoint) {
        endpoint.failureRate = 0;
        endpoint.unreachable = false;
    }

    /** Counts a first attempt at a part, which adds a fraction of a trial to the budget. */
    void onFirstAttempt() {
        savedTrials = Math.max(savedTrials, Math.min(MAX_TRIALS_FROM_ATTEMPTS, savedTrials + TRIALS_PER_FIRST_ATTEMPT));
    }

    /** Counts a trial that is sent to the endpoint, and postpones the next one. */
    void onTrial(EndpointRecord endpoint) {
        savedTrials = Math.max(0, savedTrials - 1);
        nextUnbudgetedTrialAtS = context.nowS() + context.shortestObjectiveS() * MAX_BACKOFF_OBJECTIVES;
        postponeTrial(endpoint);
        zone(endpoint).nextTrialAtS = nextUnbudgetedTrialAtS;
    }

    private void startBackoffIfEjected(EndpointRecord endpoint, boolean wasOutlier) {
        if (!wasOutlier && isOutlier(endpoint)) {
            endpoint.trialBackoffS = 0;
            postponeTrial(endpoint);
        }
    }

    private void postponeTrial(EndpointRecord endpoint) {
        double doubledS = Math.max(2 * endpoint.trialBackoffS, context.shortestObjectiveS() * FIRST_BACKOFF_SHARE);
        endpoint.trialBackoffS = Math.min(doubledS, context.shortestObjectiveS() * MAX_BACKOFF_OBJECTIVES);
        endpoint.nextTrialAtS = context.nowS() + endpoint.trialBackoffS;
    }

    /**
     * Adds one outcome, 0 to 1, to the failure rates of the endpoint, the fleet and the zone; a slow answer changes
     * only the endpoint's.
     */
    private void addOutcome(EndpointRecord endpoint, double failure) {
        endpoint.failureRate += ENDPOINT_GAIN * (failure - endpoint.failureRate);
        fleetFailureRate += FleetEstimates.SAMPLE_GAIN * (Math.floor(failure) - fleetFailureRate);
        ZoneRecord zone = zone(endpoint);
        boolean wasDegraded = zone.failureRate > CLEARLY_WORSE_RATE;
        zone.failureRate += ZONE_GAIN * (Math.floor(failure) - zone.failureRate);
        if (!wasDegraded && zone.failureRate > CLEARLY_WORSE_RATE) {
            zone.degradedSinceS = context.nowS();
        }
    }

    private ZoneRecord zone(EndpointRecord endpoint) {
        return zones.computeIfAbsent(endpoint.zone, zone -> new ZoneRecord());
    }
}
