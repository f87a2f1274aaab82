package pepperdock.core;

import java.util.List;

/**
 * A client's request, independent of the protocol. Immutable; the body must not be modified.
 *
 * @param id id that the client gave the query, which is passed on to workers
 * @param queryClass index into the classes of the settings
 * @param idempotencyKey key by which workers recognise a repeat, empty if the class uses none
 * @param timeoutS seconds, counted from the submission, that the client waits for the answer
 * @param parts the parts, in the order of the answer
 * @param body payload that is sent to the worker of each part
 * @param frontContext state that belongs to the front and is opaque to the core; may be null
 */
public record QueryRequest(
        String id,
        int queryClass,
        String idempotencyKey,
        double timeoutS,
        List<RequestedPart> parts,
        byte[] body,
        Object frontContext) {

    /** Maximum deviation of the sum of the weights from 1, because each weight is rounded separately. */
    private static final double WEIGHT_SUM_TOLERANCE = 0.01;

    /**
     * Returns whether the weights add up to 1, as the completeness of an answer is computed from the weights of its
     * parts.
     */
    public static boolean weightsSumToOne(List<RequestedPart> parts) {
        return Math.abs(parts.stream().mapToDouble(RequestedPart::weight).sum() - 1) <= WEIGHT_SUM_TOLERANCE;
    }

    /**
     * A requested part.
     *
     * @param shard shard that the part reads
     * @param weight its share of the complete answer, between 0 and 1
     */
    public record RequestedPart(int shard, double weight) {}
}
