package pepperdock.scheduler;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Ejects endpoints that fail clearly more often than the fleet, and lets them back after a successful trial.
 *
 * <p>Rule: an endpoint's failure rate is a moving average of its outcomes, 1 for a failure, 0 for a timely answer. It is an
 * outlier, and ejected, while it is unreachable, or while its rate exceeds both {@link #EJECTED_RATE} and that of the
 * fleet by {@link #CLEARLY_WORSE_RATE}. An ejected endpoint receives one attempt at a time as a trial, after a backoff that
 * doubles; a budget bounds the trials of all endpoints together. The path to a zone has a record of its own, which counts
 * for each endpoint of the zone that has not answered in time since the path became degraded.
 *
 * <p>Inputs: outcomes of this instance's attempts; rates are 0 to 1, times seconds. Guards against endpoints and paths between
 * zones that fail, are slow or silent. The zone's record finds a cut path within part of one query instead of endpoint by
 * endpoint; the comparison with the fleet keeps a shared fault from crowding a few endpoints. Harms, until a trial, where the
 * suspicion is out of date, or where many endpoints of one zone fail by themselves.
 */
final class OutlierDetector {

    /** An endpoint or path is clearly worse than another from this difference on: two failures in a row. */
    static final double CLEARLY_WORSE_RATE = 0.4;

    /** Weight of one outcome in an endpoint's rate: two failures in a row eject it, one does not. */
    private static final double ENDPOINT_GAIN = 0.35;

    /** Rate above which an endpoint is ejected. */
    private static final double EJECTED_RATE = 0.5;

    /** Weight of one outcome in a zone's rate: some sixteen outcomes, part of one query. */
    private static final double ZONE_GAIN = 1.0 / 16;

    /** First backoff before a trial, as a share of the shortest latency objective: a short fault is soon over. */
    private static final double FIRST_BACKOFF_SHARE = 0.25;

    /** Longest backoff, in shortest latency objectives: a recovered endpoint is found within a client's patience. */
    private static final double MAX_BACKOFF_OBJECTIVES = 2;

    /** Trials earned by a first attempt: ejected endpoints cost each query little. */
    private static final double TRIALS_PER_FIRST_ATTEMPT = 0.007;

    /** Most trials saved up from first attempts, so that a quiet hour is no burst of trials. */
    private static final double MAX_TRIALS_FROM_ATTEMPTS = 2;

    /** Trials earned by one that succeeds: after a shared fault all endpoints are soon won back. */
    private static final double TRIALS_PER_SUCCESS = 1.5;

    /** Most trials saved up from successful ones. */
    private static final double MAX_TRIALS_FROM_SUCCESSES = 3;

    private final SchedulerContext context;
    private final EndpointRegistry registry;
    private final Map<Integer, ZoneRecord> zones = new LinkedHashMap<>();
    private double fleetFailureRate;
    private double savedTrials = MAX_TRIALS_FROM_ATTEMPTS;
    private double unearnedTrialAtS;

    OutlierDetector(SchedulerContext context, EndpointRegistry registry) {
        this.context = context;
        this.registry = registry;
    }

    /** Whether the endpoint is ejected: unreachable, or clearly worse than the fleet is at present. */
    boolean isOutlier(EndpointRecord endpoint) {
        return endpoint.unreachable
                || failureRate(endpoint) > Math.max(EJECTED_RATE, fleetFailureRate + CLEARLY_WORSE_RATE);
    }

    /** The endpoint's failure rate, or that of its zone if worse and not disproved since by a timely answer; 0 to 1. */
    double failureRate(EndpointRecord endpoint) {
        return endpoint.lastTimelySentAtS < zone(endpoint).degradedSinceS
                ? Math.max(endpoint.failureRate, zone(endpoint).failureRate)
                : endpoint.failureRate;
    }

    /** Whether an attempt at the endpoint is justified: it is not ejected, or due for a trial. */
    boolean isAvailable(EndpointRecord endpoint) {
        return !isOutlier(endpoint) || isTrialDue(endpoint);
    }

    /**
     * Whether the endpoint has answered within the last objective: no ground to reject unsent what it alone may serve. Guards
     * against rejections beside one replica that fails now and then and one that is a little slow; harms, for one objective
     * at most, where both have just gone silent.
     */
    boolean hasAnsweredRecently(EndpointRecord endpoint) {
        return !endpoint.unreachable && context.nowS() - endpoint.lastOkAtS < context.shortestObjectiveS();
    }

    /** Whether an ejected endpoint may be tried now. */
    boolean isTrialDue(EndpointRecord endpoint) {
        double dueAtS = zone(endpoint).failureRate > CLEARLY_WORSE_RATE
                ? Math.max(endpoint.nextTrialAtS, zone(endpoint).nextTrialAtS)
                : endpoint.nextTrialAtS;
        return endpoint.outstanding.stream().allMatch(attempt -> attempt.overdue)
                && context.nowS() >= dueAtS
                && (savedTrials >= 1 || context.nowS() >= unearnedTrialAtS);
    }

    /**
     * Whether the endpoint responds with errors while no replica of the part is available: an error costs a call, and the next
     * attempt may be answered. Guards against rejections where the healthy replica is draining; harms where the errors come
     * from overload.
     */
    boolean isLastResort(PartState part, EndpointRecord endpoint) {
        return endpoint.respondsWithErrors
                && registry.replicas(part.shard).stream().noneMatch(this::isAvailable);
    }

    /** Whether fewer than half of the usable endpoints are ejected. Looks at each, so not for every part. */
    boolean isMostOfFleetHealthy() {
        long usable =
                registry.all().stream().filter(endpoint -> endpoint.usable).count();
        long ejected = registry.all().stream()
                .filter(endpoint -> endpoint.usable && isOutlier(endpoint))
                .count();
        return 2 * ejected < usable;
    }

    /** Whether the endpoint is ejected and has received no attempt for the longest backoff. */
    boolean isAvoided(EndpointRecord endpoint) {
        if (!isOutlier(endpoint)) {
            return false;
        }
        CallState call = endpoint.lastCall;
        return call == null || context.nowS() - call.sentAtS > MAX_BACKOFF_OBJECTIVES * context.shortestObjectiveS();
    }

    /** A failure of the endpoint. */
    void onFailure(EndpointRecord endpoint) {
        boolean wasOutlier = isOutlier(endpoint);
        observe(endpoint, 1);
        ejectIfNew(endpoint, wasOutlier);
    }

    /** A failure that shows that the endpoint can't be reached. */
    void onUnreachable(EndpointRecord endpoint) {
        boolean wasOutlier = isOutlier(endpoint);
        observe(endpoint, 1);
        endpoint.failureRate = 1;
        endpoint.unreachable = true;
        ejectIfNew(endpoint, wasOutlier);
    }

    /** The endpoint has rejected an attempt as overloaded: one such response ejects it. */
    void onOverloaded(EndpointRecord endpoint) {
        endpoint.failureRate = Math.max(endpoint.failureRate, EJECTED_RATE);
        onFailure(endpoint);
    }

    /** A timely answer; {@code failure} is above 0, up to 1, where it was slow. */
    void onTimelyAnswer(AttemptState attempt, double failure) {
        EndpointRecord endpoint = attempt.endpoint;
        observe(endpoint, failure);
        endpoint.lastTimelySentAtS = attempt.sentAtS;
        if (attempt.trial) {
            zone(endpoint).nextTrialAtS = context.nowS();
            savedTrials = Math.min(MAX_TRIALS_FROM_SUCCESSES, savedTrials + TRIALS_PER_SUCCESS);
        }
    }

    /** The failures seen so far were not the endpoint's. */
    void acquit(EndpointRecord endpoint) {
        endpoint.failureRate = 0;
        endpoint.unreachable = false;
    }

    /** A first attempt at a part is sent: it earns part of a trial. */
    void onFirstAttempt() {
        savedTrials = Math.max(savedTrials, Math.min(MAX_TRIALS_FROM_ATTEMPTS, savedTrials + TRIALS_PER_FIRST_ATTEMPT));
    }

    /** A trial of the endpoint is sent. */
    void onTrial(EndpointRecord endpoint) {
        savedTrials = Math.max(0, savedTrials - 1);
        unearnedTrialAtS = context.nowS() + context.shortestObjectiveS() * MAX_BACKOFF_OBJECTIVES;
        postponeTrial(endpoint);
        zone(endpoint).nextTrialAtS = unearnedTrialAtS;
    }

    private void ejectIfNew(EndpointRecord endpoint, boolean wasOutlier) {
        if (!wasOutlier && isOutlier(endpoint)) {
            endpoint.trialBackoffS = 0;
            postponeTrial(endpoint);
        }
    }

    private void postponeTrial(EndpointRecord endpoint) {
        double longerS = Math.max(2 * endpoint.trialBackoffS, context.shortestObjectiveS() * FIRST_BACKOFF_SHARE);
        endpoint.trialBackoffS = Math.min(longerS, context.shortestObjectiveS() * MAX_BACKOFF_OBJECTIVES);
        endpoint.nextTrialAtS = context.nowS() + endpoint.trialBackoffS;
    }

    /** Takes one outcome, 0 to 1, into the rates of the endpoint, the fleet and the zone; a slow answer only into the first. */
    private void observe(EndpointRecord endpoint, double failure) {
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
