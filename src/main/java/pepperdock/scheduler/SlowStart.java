package pepperdock.scheduler;

import java.util.SplittableRandom;
import pepperdock.estimate.WarmUpAllowance;

/**
 * Limits the work sent to an endpoint that has just started and is warming up.
 *
 * <p>During the warm-up, the work sent by all instances together stays within an allowance that grows linearly from the
 * initial share to the whole, times the overload multiple of {@link ProtocolRules}. Instances do not communicate, so
 * each uses only its own portion of the allowance. Where that portion is less than one part within the overload window,
 * an instance waits for a random time, drawn from the seed, before it sends the first part, since all instances learn
 * of a start together. Inputs are start times, warm-up figures and the estimated work of a part, in seconds.
 *
 * <p>This guards against overwhelming a started endpoint while its caches are empty. Where traffic is uneven over
 * instances, part of the allowance stays unused.
 */
final class SlowStart {

    /** Share of the allowance that is used; the rest is a margin, since the work of a part is an estimate. */
    private static final double USED_SHARE = 0.9;

    /** Share of the work allowed within the overload window that all instances together may save up. */
    private static final double SAVED_SHARE = 0.5;

    private final SchedulerContext context;
    private final FleetEstimates estimates;
    private final SplittableRandom random;

    SlowStart(SchedulerContext context, FleetEstimates estimates, SplittableRandom random) {
        this.context = context;
        this.estimates = estimates;
        this.random = random;
    }

    /** Returns whether the endpoint is warming up. */
    boolean isWarmingUp(EndpointRecord endpoint) {
        ProtocolRules rules = context.settings().rules();
        return rules.warmUpOverloadWindowS() > 0 && context.nowS() < endpoint.startedAtS + rules.warmUpS();
    }

    /**
     * Records that the endpoint started at {@code startedAtS}, which this instance learns now. An instance that is the
     * only one, or that may save up work, sends at once; any other starts with its allowance overdrawn by a random
     * share of a part.
     */
    void onStarted(EndpointRecord endpoint, double startedAtS) {
        endpoint.startedAtS = startedAtS;
        boolean sendsAtOnce = context.settings().instances() == 1 || maxSavedS(endpoint) > 0;
        double overdrawnS = sendsAtOnce
                ? -maxSavedS(endpoint)
                : random.nextDouble() * estimates.partWork().meanS();
        endpoint.warmUpAllowance = new WarmUpAllowance(context.nowS(), workRate(endpoint), overdrawnS);
    }

    /** Returns whether the allowance has room for a part; always true outside the warm-up. */
    boolean admits(EndpointRecord endpoint) {
        return !isWarmingUp(endpoint)
                || endpoint.warmUpAllowance.allows(context.nowS(), workRate(endpoint), maxSavedS(endpoint));
    }

    /** Deducts the work of a part that is sent to the endpoint, {@code partWorkS} seconds. */
    void onSend(EndpointRecord endpoint, double partWorkS) {
        if (isWarmingUp(endpoint)) {
            endpoint.warmUpAllowance.onSend(partWorkS);
        }
    }

    /**
     * Returns the seconds of work that this instance may save up and send at once, 0 where there are many instances.
     *
     * <p>Let N be the parts that the whole fleet may send to the endpoint within the overload window. The protocol
     * tolerates N + 2 sqrt(N) + 2 of them, so {@code slackS} is the work of 2 sqrt(N) + 2 of the shortest parts. The
     * fleet may save up that slack, or {@link #SAVED_SHARE} of the allowance if that is less. Each instance gets its
     * portion of it, less one of the longest parts, as the allowance may be overdrawn by the part that is sent last.
     */
    private double maxSavedS(EndpointRecord endpoint) {
        SchedulerSettings settings = context.settings();
        double fleetS =
                workRate(endpoint) * settings.instances() * settings.rules().warmUpOverloadWindowS();
        double shortestPartS = estimates.partWork().minS();
        double slackS = 2 * Math.sqrt(fleetS * shortestPartS) + 2 * shortestPartS;
        double fleetSavedS = Math.min(slackS, SAVED_SHARE * fleetS);
        return Math.max(
                0, fleetSavedS / settings.instances() - estimates.partWork().maxS());
    }

    /** Returns this instance's portion of the allowance, in seconds of work per second. */
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
