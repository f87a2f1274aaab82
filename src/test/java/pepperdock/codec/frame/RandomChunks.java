package pepperdock.codec.frame;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Shared by the tests of parsers: feeds bytes in random chunks, as a connection would, and keeps those that were not
 * consumed for the next chunk.
 */
public final class RandomChunks {

    /**
     * Passes bytes to a parser under test, adds the messages that it completes, and returns how many bytes it consumed.
     */
    public interface ChunkParser<T> {
        int feed(byte[] bytes, int from, int to, List<T> messages) throws Exception;
    }

    private RandomChunks() {}

    /** Returns all messages that the parser completes from the bytes; throws what the parser throws. */
    public static <T> List<T> feed(byte[] bytes, long seed, ChunkParser<T> parser) throws Exception {
        Random random = new Random(seed);
        List<T> messages = new ArrayList<>();
        int from = 0;
        int to = 0;
        while (to < bytes.length) {
            to += 1 + random.nextInt(Math.min(40, bytes.length - to));
            int consumed;
            do {
                consumed = parser.feed(bytes, from, to, messages);
                from += consumed;
            } while (consumed > 0 && from < to);
        }
        return messages;
    }

    /** Returns fewer than 600 random bytes. */
    public static byte[] randomBytes(long seed) {
        Random random = new Random(seed);
        byte[] bytes = new byte[random.nextInt(600)];
        random.nextBytes(bytes);
        return bytes;
    }
}
