package pepperdock.scheduler;

/**
 * Sends the first attempts of a query.
 *
 * <p>It sends as many parts as {@link FanOutPolicy} allows, the heaviest first. Parts without an available replica are
 * left out as far as the class's minimum coverage permits. A query that can't do without them is rejected at once while
 * most endpoints are healthy. Where hedging is allowed, the trial of an ejected replica is sent as a hedged request.
 * Inputs are weights as shares of the answer, and the health of the replicas.
 *
 * <p>This guards against concentrating load on the one healthy replica of a shard, against metastable overload, which
 * persists because retries add to it, and against waiting out an outage of all replicas. Until a trial, it does harm
 * where an ejection is out of date.
 */
final class QueryDispatcher {

    private final EndpointRegistry registry;
    private final OutlierDetector outliers;
    private final HedgingPolicy hedging;
    private final AttemptSender sender;
    private final ReplicaSelector selector;
    private final QueryReviewer reviewer;
    private final QueryFinisher finisher;

    QueryDispatcher(
            EndpointRegistry registry,
            OutlierDetector outliers,
            HedgingPolicy hedging,
            AttemptSender sender,
            ReplicaSelector selector,
            QueryReviewer reviewer,
            QueryFinisher finisher) {
        this.registry = registry;
        this.outliers = outliers;
        this.hedging = hedging;
        this.sender = sender;
        this.selector = selector;
        this.reviewer = reviewer;
        this.finisher = finisher;
    }

    /** Sends {@code count} parts of the query, or rejects it. */
    void dispatch(QueryState query, int count) {
        double omittableWeight = 1 - query.queryClass.minimumCoverage();
        if (unservableWeight(query) > omittableWeight + QueryState.COVERAGE_TOLERANCE
                && outliers.isMostOfFleetHealthy()) {
            finisher.endWithoutAnswer(query);
            return;
        }
        query.dispatched = true;
        sendParts(query, count, omittableWeight);
        reviewer.review(query);
    }

    private void sendParts(QueryState query, int count, double omittableWeight) {
        int remaining = count;
        double remainingOmittableWeight = omittableWeight;
        for (PartState part : FanOutPolicy.heaviestFirst(query)) {
            part.wanted = remaining > 0;
            if (part.weight <= remainingOmittableWeight && !hasAvailableReplica(part)) {
                remainingOmittableWeight -= part.weight;
                part.wanted = false;
            } else if (remaining-- > 0 && selector.sendToBest(part) && hedging.mayHedge(part)) {
                selector.sendHedgedTrial(part);
            }
        }
    }

    /** Returns the weight of the parts for which no replica is likely to answer. */
    private double unservableWeight(QueryState query) {
        return query.parts.stream()
                .filter(part -> registry.replicas(part.shard).stream().noneMatch(this::mayAnswer))
                .mapToDouble(part -> part.weight)
                .sum();
    }

    private boolean mayAnswer(EndpointRecord endpoint) {
        return outliers.isAvailable(endpoint) || outliers.hasAnsweredRecently(endpoint) || endpoint.respondsWithErrors;
    }

    private boolean hasAvailableReplica(PartState part) {
        return registry.replicas(part.shard).stream()
                .anyMatch(endpoint -> sender.isAllowed(part, endpoint) && outliers.isAvailable(endpoint));
    }
}
