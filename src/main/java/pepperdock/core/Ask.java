package pepperdock.core;

import java.util.List;

/**
 * What a client asks, free of any wire: {@code timeoutS} is how long the client waits from now, {@code key} is empty
 * where its class has none, {@code text} is what each part has to carry, {@code context} is the front's own and opaque
 * to the core; it may be null.
 */
public record Ask(
        String id, int queryClass, String key, double timeoutS, List<Piece> pieces, byte[] text, Object context) {

    /** How far the weights may be from 1 together: they are rounded, each by itself. */
    private static final double ROUNDING = 0.01;

    /** Whether the weights are shares of one whole: an answer's floor and its mark as whole are reckoned from them. */
    public static boolean addUp(List<Piece> pieces) {
        return Math.abs(pieces.stream().mapToDouble(Piece::weight).sum() - 1) <= ROUNDING;
    }

    /** A part asked for: its shard and its share of the whole answer. */
    public record Piece(int shard, double weight) {}
}
