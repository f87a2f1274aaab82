package pepperdock.scheduler;

import java.util.SplittableRandom;
import pepperdock.estimate.WarmUpAllowance;

/**
 * Limits the work sent to an endpoint that has just started and is warming up.
 *
 * <p>Rule: during the warm-up the work sent by all instances together stays within an allowance that grows evenly from the
 * initial share to the whole, times the overload multiple of {@link ProtocolRules}. Instances share nothing, so each takes
 * its part of the allowance. Where that part is less than one part within the overload window, an instance waits for its
 * turn, drawn from the seed, since all learn of a start together. Inputs: start times, warm-up figures and the estimated work
 * of a part, in seconds. Guards against a started endpoint being overwhelmed while its caches are empty. Harms where the
 * traffic is uneven over instances: part of the allowance stays unused.
 */
final class SlowStart {

    /** Share of the allowance that is used: the work of a part is an estimate. */
    private static final double USED_SHARE = 0.9;

    /** Share of what the overload window allows that all instances may save up together. */
    private static final double SAVED_SHARE = 0.5;

    private final SchedulerContext context;
    private final FleetEstimates estimates;
    private final SplittableRandom random;

    SlowStart(SchedulerContext context, FleetEstimates estimates, SplittableRandom random) {
        this.context = context;
        this.estimates = estimates;
        this.random = random;
    }

    /** Whether the endpoint is warming up. */
    boolean isWarmingUp(EndpointRecord endpoint) {
        ProtocolRules rules = context.settings().rules();
        return rules.warmUpOverloadWindowS() > 0 && context.nowS() < endpoint.startedAtS + rules.warmUpS();
    }

    /**
     * The endpoint started at {@code startedAtS}, which this instance learns now. A sole instance, or one that may save up,
     * sends at once; any other begins with a random share of a part overdrawn.
     */
    void onStarted(EndpointRecord endpoint, double startedAtS) {
        endpoint.startedAtS = startedAtS;
        boolean atOnce = context.settings().instances() == 1 || maxSavedS(endpoint) > 0;
        double overdrawnS = atOnce
                ? -maxSavedS(endpoint)
                : random.nextDouble() * estimates.partWork().mean();
        endpoint.warmUp = new WarmUpAllowance(context.nowS(), workRate(endpoint), overdrawnS);
    }

    /** Whether the allowance leaves room for a part; always outside the warm-up. */
    boolean admits(EndpointRecord endpoint) {
        return !isWarmingUp(endpoint)
                || endpoint.warmUp.allows(context.nowS(), workRate(endpoint), maxSavedS(endpoint));
    }

    /** A part of the class {@code classIndex} is sent to the endpoint. */
    void onSend(EndpointRecord endpoint, int classIndex) {
        if (isWarmingUp(endpoint)) {
            endpoint.warmUp.send(estimates.partWork().of(classIndex));
        }
    }

    /**
     * Seconds of work that this instance may save up and send at once, 0 where there are many instances.
     *
     * <p>Let N be the parts that the whole fleet may send to the endpoint within the overload window. The protocol tolerates
     * N + 2 sqrt(N) + 2 of them, so {@code slackS} is the work of 2 sqrt(N) + 2 of the shortest parts. The fleet may save up
     * that slack, or {@link #SAVED_SHARE} of the allowance if that is less. Each instance gets its part of it, less one part
     * of the longest, as the allowance may be overdrawn by the part that is sent last.
     */
    private double maxSavedS(EndpointRecord endpoint) {
        SchedulerSettings settings = context.settings();
        double fleetS =
                workRate(endpoint) * settings.instances() * settings.rules().warmUpOverloadWindowS();
        double shortestPartS = estimates.partWork().least();
        double slackS = 2 * Math.sqrt(fleetS * shortestPartS) + 2 * shortestPartS;
        double fleetSavedS = Math.min(slackS, SAVED_SHARE * fleetS);
        return Math.max(
                0, fleetSavedS / settings.instances() - estimates.partWork().most());
    }

    /** This instance's part of the allowance, in seconds of work a second. */
    private double workRate(EndpointRecord endpoint) {
        ProtocolRules rules = context.settings().rules();
        double initial = rules.warmUpInitialShare();
        double share = initial + (1 - initial) * Math.max(0, context.nowS() - endpoint.startedAtS) / rules.warmUpS();
        return USED_SHARE
                * rules.warmUpOverloadMultiple()
                * Math.min(1, share)
                / context.settings().instances();
    }
}
