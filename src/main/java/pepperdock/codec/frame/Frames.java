package pepperdock.codec.frame;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** The frames of the workers' protocol, written and read. */
public final class Frames {

    public static final char CALL = 'm';
    public static final char GIVE_UP = 'n';
    public static final char PROBE = 'o';
    public static final char RESULT = 'q';
    public static final char UNUSABLE = 'r';
    /** The letters that a worker sends; those of probes for load are never asked for here. */
    public static final String FROM_WORKERS = "oqr";

    private static final List<String> ENDS = List.of("good", "bad", "later");

    private Frames() {}

    /** One part of a call; {@code key} is empty where its class has none. */
    public record PartCall(String id, int shard, long waitMs, String key, byte[] text) {}

    /** What a worker answered for a part: {@code end} is {@code good}, {@code bad} or {@code later}; the value may be null. */
    public record Result(String id, String end, String report, byte[] value) {}

    public static byte[] call(List<PartCall> parts) {
        ByteArrayOutputStream rest = new ByteArrayOutputStream();
        for (PartCall p : parts) {
            String list = "d=" + p.waitMs() + (p.key().isEmpty() ? "" : ",k=" + p.key());
            rest.writeBytes((p.id() + ' ' + p.shard() + ' ' + list + ' ' + p.text().length + '\n')
                    .getBytes(StandardCharsets.UTF_8));
            rest.writeBytes(p.text());
        }
        return frame(CALL, rest.toByteArray());
    }

    public static byte[] giveUp(String id) {
        return frame(GIVE_UP, id.getBytes(StandardCharsets.UTF_8));
    }

    public static byte[] probe() {
        return frame(PROBE, new byte[0]);
    }

    public static byte[] frame(char letter, byte[] rest) {
        int length = rest.length + 1;
        byte[] all = new byte[4 + length];
        all[0] = (byte) (length >>> 24);
        all[1] = (byte) (length >>> 16);
        all[2] = (byte) (length >>> 8);
        all[3] = (byte) length;
        all[4] = (byte) letter;
        System.arraycopy(rest, 0, all, 5, rest.length);
        return all;
    }

    /** The longest line before a value: an id, two words and a report. */
    private static final int LINE_MOST = 1024;

    public static Result result(byte[] rest) throws FrameException {
        Result line = resultLine(rest, 0, rest.length);
        if (line == null) {
            throw new FrameException("result without its line");
        }
        int end = 0;
        while (rest[end] != '\n') {
            end++;
        }
        return new Result(line.id(), line.end(), line.report(), Arrays.copyOfRange(rest, end + 1, rest.length));
    }

    /**
     * Reads the line of a result as far as it has come: null while its end is still to come. The report is the rest of
     * the line, whatever stands in it: one that can't be read does not spoil the answer.
     */
    public static Result resultLine(byte[] bytes, int from, int to) throws FrameException {
        int end = from;
        while (end < to && bytes[end] != '\n') {
            end++;
        }
        if (end - from > LINE_MOST) {
            throw new FrameException("line too long");
        }
        if (end == to) {
            return null;
        }
        String[] words = new String(bytes, from, end - from, StandardCharsets.UTF_8).split(" ", 4);
        if (words.length != 4 || !ENDS.contains(words[1])) {
            throw new FrameException("result without its line, or of an unknown end");
        }
        return new Result(words[0], words[1], words[3], null);
    }
}
