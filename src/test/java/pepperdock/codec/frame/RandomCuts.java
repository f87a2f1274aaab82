package pepperdock.codec.frame;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** What the parsers' tests share: feeds bytes in random cuts, as a connection would, keeping what was not used. */
public final class RandomCuts {

    /** A parser in a test: uses bytes, adds what it completes, returns how many it used. */
    public interface Feed<T> {
        int feed(byte[] bytes, int from, int to, List<T> into) throws Exception;
    }

    private RandomCuts() {}

    /** All that the parser completes from the bytes; throws what it throws. */
    public static <T> List<T> feed(byte[] bytes, long seed, Feed<T> parser) throws Exception {
        Random random = new Random(seed);
        List<T> all = new ArrayList<>();
        int from = 0;
        int to = 0;
        while (to < bytes.length) {
            to += 1 + random.nextInt(Math.min(40, bytes.length - to));
            int used;
            do {
                used = parser.feed(bytes, from, to, all);
                from += used;
            } while (used > 0 && from < to);
        }
        return all;
    }

    public static byte[] garbage(long seed) {
        Random random = new Random(seed);
        byte[] bytes = new byte[random.nextInt(600)];
        random.nextBytes(bytes);
        return bytes;
    }
}
