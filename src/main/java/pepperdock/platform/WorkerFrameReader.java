package pepperdock.platform;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import pepperdock.codec.frame.Frame;
import pepperdock.codec.frame.FrameEncoder;
import pepperdock.codec.frame.FrameException;
import pepperdock.codec.frame.FrameParser;

/**
 * Reads the frames that a worker sends on one connection, and finds lengths that don't fit.
 *
 * <p>Each frame begins with a zero byte, because its length is less than 2^24, and has no other one behind its length,
 * because it is text. So a frame whose length is too large is invalid from the first byte of the next frame on, and a frame whose
 * length is too small is followed by a byte that no frame begins with. See {@link #isLastFrameDisputed}.
 */
final class WorkerFrameReader {

    private final FrameParser parser =
            new FrameParser(WorkerProtocol.MAX_FRAME_BYTES, WorkerProtocol.TYPES_FROM_WORKERS);
    private final Predicate<String> isKnownId;
    private Frame frame;
    /** How many bytes of an incomplete frame, from its beginning, are known to be text. */
    private int checkedBytes = FrameEncoder.HEADER_BYTES;

    /** Creates a reader for one connection; results with an unknown id are rejected. */
    WorkerFrameReader(Predicate<String> isKnownId) {
        this.isKnownId = isKnownId;
    }

    /**
     * Consumes one complete frame, which {@link #take} then returns, and returns its size in bytes. Returns 0 if no
     * frame is complete yet. Rejects an invalid frame as soon as its first bytes show it.
     */
    int feed(byte[] bytes, int from, int to) throws FrameException {
        int used = parser.feed(bytes, from, to);
        int end = used == 0 ? to : from + used;
        if (end - from > FrameEncoder.HEADER_BYTES) {
            checkText(bytes, from, end);
            if (used == 0 && bytes[from + FrameEncoder.LENGTH_BYTES] == WorkerProtocol.RESULT) {
                checkIncompleteResult(bytes, from + FrameEncoder.HEADER_BYTES, end);
            }
        }
        if (used > 0) {
            frame = parser.take();
            checkedBytes = FrameEncoder.HEADER_BYTES;
        }
        return used;
    }

    /** Returns the frame that the last call of {@link #feed} completed; null if there is none or it was taken. */
    Frame take() {
        Frame taken = frame;
        frame = null;
        return taken;
    }

    private void checkText(byte[] bytes, int from, int to) throws FrameException {
        for (int i = from + checkedBytes; i < to; i++) {
            if (bytes[i] == 0) {
                throw new FrameException("zero byte in a frame: its length does not fit, or it is not text");
            }
        }
        checkedBytes = to - from;
    }

    private void checkIncompleteResult(byte[] bytes, int from, int to) throws FrameException {
        WorkerProtocol.ResultHeader header = WorkerProtocol.parseResultHeader(bytes, from, to);
        if (header != null) {
            checkId(header);
        }
    }

    /** Rejects a result with an id that is not known on this connection. */
    void checkId(WorkerProtocol.ResultHeader header) throws FrameException {
        if (!isKnownId.test(header.id())) {
            throw new FrameException("result with an unknown id");
        }
    }

    /**
     * Returns whether these bytes, which have been rejected where the next frame should begin, may be the rest of the
     * frame before them. That frame may then have been cut short by a length that is too small. Bytes that can't
     * continue a text are noise behind a frame that is complete.
     */
    static boolean isLastFrameDisputed(byte[] bytes, int from, int to) {
        if (from == to || bytes[from] == 0) {
            return false;
        }
        CharBuffer firstCharacter = CharBuffer.allocate(2);
        CoderResult decoded = StandardCharsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(bytes, from, to - from), firstCharacter, false);
        return firstCharacter.position() > 0 || !decoded.isError();
    }
}
