package pepperdock.scheduler;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Selects the replica for an attempt at a part.
 *
 * <p>As in the RMAP paper, it selects the replica with the fewest own parts outstanding, counted by call where parts
 * share calls and divided by its planned share; ties are broken at random, by the seed. Only replicas whose health is
 * not clearly worse than that of the best one are considered; the difference allowed grows with the failure rate of the
 * best one, which is less certain the higher it is. A first attempt that can't be hedged goes to an ejected replica
 * whose trial is due. Inputs are this instance's outstanding calls, planned shares and failure rates.
 *
 * <p>Where all replicas are equally healthy or unhealthy, none is passed over, so that a shared fault does not
 * concentrate load on a few. The choice does harm where the best replica is good only by chance.
 */
final class ReplicaSelector {

    /**
     * Penalty of a replica that an earlier attempt at the part was sent to: larger than what one failure adds to the
     * failure rate, and smaller than what two failures add.
     */
    private static final double ATTEMPTED_PENALTY = 0.5;

    /** Penalty of an unreachable replica, large enough that it comes after every reachable one. */
    private static final double UNREACHABLE_PENALTY = 1;

    private final EndpointRegistry registry;
    private final OutlierDetector outliers;
    private final HedgingPolicy hedging;
    private final AttemptSender sender;
    private final SplittableRandom random;
    private PlannedShares plannedShares = (shard, endpoint) -> 1;

    ReplicaSelector(
            EndpointRegistry registry,
            OutlierDetector outliers,
            HedgingPolicy hedging,
            AttemptSender sender,
            SplittableRandom random) {
        this.registry = registry;
        this.outliers = outliers;
        this.hedging = hedging;
        this.sender = sender;
        this.random = random;
    }

    /** Replaces the planned shares. */
    void updatePlannedShares(PlannedShares shares) {
        plannedShares = shares;
    }

    /** Sends an attempt at the part to the replica selected, and returns whether an attempt was sent. */
    boolean sendToBest(PartState part) {
        List<EndpointRecord> candidates = registry.replicas(part.shard).stream()
                .filter(endpoint -> sender.isAllowed(part, endpoint))
                .toList();
        double bestPenalty = candidates.stream()
                .mapToDouble(endpoint -> penalty(endpoint, part))
                .min()
                .orElse(0);
        double maxPenalty = bestPenalty + OutlierDetector.CLEARLY_WORSE_RATE * (1 + 2 * bestPenalty);
        EndpointRecord best = null;
        int ties = 0;
        for (EndpointRecord endpoint : candidates) {
            if (penalty(endpoint, part) > maxPenalty) {
                if (!hedging.mayHedge(part) && part.attempts.isEmpty() && outliers.isTrialDue(endpoint)) {
                    return sender.send(part, endpoint);
                }
            } else if (best == null || load(endpoint, part) < load(best, part)) {
                best = endpoint;
                ties = 1;
            } else if (load(endpoint, part) == load(best, part) && random.nextInt(++ties) == 0) {
                best = endpoint;
            }
        }
        return best != null && sender.send(part, best);
    }

    /** Sends a hedged request to an ejected replica whose trial is due, so that the trial puts no query at risk. */
    void sendHedgedTrial(PartState part) {
        for (EndpointRecord endpoint : registry.replicas(part.shard)) {
            if (part.outstanding == 1
                    && outliers.failureRate(endpoint) > OutlierDetector.CLEARLY_WORSE_RATE
                    && outliers.isTrialDue(endpoint)) {
                sender.send(part, endpoint);
            }
        }
    }

    /** Returns the penalty of a replica for the part: the lower, the healthier. */
    private double penalty(EndpointRecord endpoint, PartState part) {
        boolean attempted = part.attempts.stream().anyMatch(attempt -> attempt.endpoint == endpoint);
        return outliers.failureRate(endpoint)
                + (attempted ? ATTEMPTED_PENALTY : 0)
                + (endpoint.unreachable ? UNREACHABLE_PENALTY : 0);
    }

    private double load(EndpointRecord endpoint, PartState part) {
        return outstandingCalls(endpoint) / plannedShares.shareOf(part.shard, endpoint.id);
    }

    private static long outstandingCalls(EndpointRecord endpoint) {
        int attempts = endpoint.outstanding.size();
        return attempts < 2
                ? attempts
                : endpoint.outstanding.stream()
                        .map(attempt -> attempt.call)
                        .distinct()
                        .count();
    }
}
