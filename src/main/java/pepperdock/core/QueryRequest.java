package pepperdock.core;

import java.util.List;

/**
 * What a client asks, free of any wire: {@code timeoutS} is how long the client waits from now, {@code key} is empty
 * where its class has none, {@code text} is what each part has to carry, {@code context} is the front's own and opaque
 * to the core; it may be null.
 */
public record QueryRequest(
        String id,
        int queryClass,
        String idempotencyKey,
        double timeoutS,
        List<RequestedPart> parts,
        byte[] body,
        Object frontContext) {

    /** How far the weights may be from 1 together: they are rounded, each by itself. */
    private static final double WEIGHT_SUM_TOLERANCE = 0.01;

    /** Whether the weights are shares of one whole: an answer's floor and its mark as whole are reckoned from them. */
    public static boolean weightsSumToOne(List<RequestedPart> pieces) {
        return Math.abs(pieces.stream().mapToDouble(RequestedPart::weight).sum() - 1) <= WEIGHT_SUM_TOLERANCE;
    }

    /** A part asked for: its shard and its share of the whole answer. */
    public record RequestedPart(int shard, double weight) {}
}
