package pepperdock.core;

import java.util.List;

/**
 * What a client asks for, independent of its protocol. Immutable; the body must not be changed.
 *
 * @param id the client's id of the query, which workers see
 * @param queryClass index into the classes of the settings
 * @param idempotencyKey key under which workers recognise a repeat, empty where the class has none
 * @param timeoutS seconds that the client waits from now
 * @param parts the parts, in the order of the answer
 * @param body what each part carries to its worker
 * @param frontContext state of the front's own, opaque to the core; may be null
 */
public record QueryRequest(
        String id,
        int queryClass,
        String idempotencyKey,
        double timeoutS,
        List<RequestedPart> parts,
        byte[] body,
        Object frontContext) {

    /** How far the weights may add up to something else than 1, as each is rounded by itself. */
    private static final double WEIGHT_SUM_TOLERANCE = 0.01;

    /** Whether weights add up to 1: how complete an answer is follows from the weights of its parts. */
    public static boolean weightsSumToOne(List<RequestedPart> parts) {
        return Math.abs(parts.stream().mapToDouble(RequestedPart::weight).sum() - 1) <= WEIGHT_SUM_TOLERANCE;
    }

    /**
     * A part asked for.
     *
     * @param shard shard that the part reads
     * @param weight its share of the complete answer, between 0 and 1
     */
    public record RequestedPart(int shard, double weight) {}
}
