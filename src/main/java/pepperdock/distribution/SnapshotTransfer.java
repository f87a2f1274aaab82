package pepperdock.distribution;

import java.util.Arrays;

/** A snapshot on its way to one subscriber, in pieces. The bytes are shared by all transfers of one version. */
final class SnapshotTransfer {

    private final Configuration of;
    private final byte[] bytes;
    private final int pieceBytes;
    private int offset;

    SnapshotTransfer(Configuration of, byte[] bytes, int pieceBytes) {
        this.of = of;
        this.bytes = bytes;
        this.pieceBytes = pieceBytes;
    }

    Version version() {
        return of.version();
    }

    Message.SnapshotPiece next() {
        int end = Math.min(bytes.length, offset + pieceBytes);
        byte[] piece = Arrays.copyOfRange(bytes, offset, end);
        Message.SnapshotPiece message =
                new Message.SnapshotPiece(of.version(), of.digest(), of.format(), bytes.length, offset, piece);
        offset = end;
        return message;
    }

    boolean done() {
        return offset == bytes.length;
    }
}
