package pepperdock.platform;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import pepperdock.codec.frame.FrameEncoder;
import pepperdock.codec.frame.FrameException;
import pepperdock.core.Attempt;
import pepperdock.scheduler.AttemptOutcome;

/**
 * Encodes the messages to workers (protocol, section "Gatherers to workers"), parses the messages from them, and maps
 * the protocol's terms to those of the core. Stateless and thread-safe.
 */
public final class WorkerProtocol {

    /** Type of frames to a worker: a call with one or more parts. */
    public static final char CALL = 'm';
    /** Type of frames to a worker: the cancellation of a part. */
    public static final char CANCEL = 'n';
    /** Type of frames in both directions: a health check and its answer. */
    public static final char HEALTH_CHECK = 'o';
    /** Type of frames from a worker: the result of one part. */
    public static final char RESULT = 'q';
    /** Type of frames from a worker: the last frame could not be used, and the worker closes the connection. */
    public static final char PROTOCOL_ERROR = 'r';

    /**
     * The frame types that a worker may send. Requests for load reports are never sent, so their answers are not
     * expected.
     */
    static final String TYPES_FROM_WORKERS = "" + HEALTH_CHECK + RESULT + PROTOCOL_ERROR;

    /**
     * The maximum length of a frame: a value of at most 64 KiB, the limit of a client's answer, and the header before
     * it.
     */
    static final int MAX_FRAME_BYTES = (1 << 16) + 2048;

    /** The maximum size of a result header: an id, two words and a load report fit well within it. */
    private static final int MAX_RESULT_HEADER_BYTES = 1024;

    /** The number of fields in a result's header: id, outcome, score, load report. */
    private static final int RESULT_HEADER_FIELDS = 4;

    private static final String HEALTHY = "good";

    private static final Map<String, AttemptOutcome> OUTCOMES = Map.of(
            "good", AttemptOutcome.OK,
            "bad", AttemptOutcome.ERROR,
            "later", AttemptOutcome.OVERLOADED);

    /** The names of load report figures in the settings, keyed by the names that workers use for them. */
    private static final Map<String, String> LOAD_REPORT_NAMES = Map.of(
            "inflight", "outstanding",
            "queue", "backlog",
            "util", "utilization",
            "latency_ms", "recent_ms",
            "qps", "throughput",
            "eps", "errors_per_s");

    private WorkerProtocol() {}

    /**
     * One part of a call.
     *
     * @param id identifies the part on its connection, see {@link #wireId}
     * @param timeoutMs how long the gatherer will wait for the result
     * @param idempotencyKey empty if the query's class has none
     * @param body the query's text, passed on unchanged
     */
    public record CallPart(String id, int shard, long timeoutMs, String idempotencyKey, byte[] body) {}

    /** The first line of a result. */
    record ResultHeader(String id, AttemptOutcome outcome, String loadReport) {}

    /** The result of one part. */
    record Result(ResultHeader header, byte[] value) {}

    /** Returns the id of an attempt's part on the wire; hedged requests and retries of a part share it. */
    static String wireId(Attempt attempt) {
        return attempt.part().query().request().id() + '.' + attempt.part().shard();
    }

    /** Encodes one call with all of its parts as one frame. */
    public static byte[] encodeCall(List<CallPart> parts) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        for (CallPart part : parts) {
            String key = part.idempotencyKey();
            String options = "d=" + part.timeoutMs() + (key.isEmpty() ? "" : ",k=" + key);
            String header = part.id() + ' ' + part.shard() + ' ' + options + ' ' + part.body().length + '\n';
            payload.writeBytes(header.getBytes(StandardCharsets.UTF_8));
            payload.writeBytes(part.body());
        }
        return FrameEncoder.encode(CALL, payload.toByteArray());
    }

    /** Encodes the cancellation of one part. */
    public static byte[] encodeCancel(String id) {
        return FrameEncoder.encode(CANCEL, id.getBytes(StandardCharsets.UTF_8));
    }

    /** Encodes a health check. */
    public static byte[] encodeHealthCheck() {
        return FrameEncoder.encode(HEALTH_CHECK, new byte[0]);
    }

    /** Parses the payload of a {@link #RESULT} frame. */
    static Result parseResult(byte[] payload) throws FrameException {
        ResultHeader header = parseResultHeader(payload, 0, payload.length);
        if (header == null) {
            throw new FrameException("result without a complete header");
        }
        int headerEnd = indexOfLineEnd(payload, 0, payload.length);
        return new Result(header, Arrays.copyOfRange(payload, headerEnd + 1, payload.length));
    }

    /**
     * Parses the header of a result that may be only partly received; returns null while the header is incomplete. The
     * load report is the rest of the line, whatever it contains: an unreadable report does not invalidate the result.
     */
    static ResultHeader parseResultHeader(byte[] bytes, int from, int to) throws FrameException {
        int end = indexOfLineEnd(bytes, from, to);
        if (end - from > MAX_RESULT_HEADER_BYTES) {
            throw new FrameException("result header longer than " + MAX_RESULT_HEADER_BYTES + " bytes");
        }
        if (end == to) {
            return null;
        }
        String line = new String(bytes, from, end - from, StandardCharsets.UTF_8);
        String[] fields = line.split(" ", RESULT_HEADER_FIELDS);
        AttemptOutcome outcome = fields.length == RESULT_HEADER_FIELDS ? OUTCOMES.get(fields[1]) : null;
        if (outcome == null) {
            throw new FrameException("malformed result header, or unknown outcome");
        }
        return new ResultHeader(fields[0], outcome, fields[3]);
    }

    /** Returns the index of the first line feed, or {@code to} if there is none. */
    private static int indexOfLineEnd(byte[] bytes, int from, int to) {
        int end = from;
        while (end < to && bytes[end] != '\n') {
            end++;
        }
        return end;
    }

    /** Parses the payload of a worker's answer to a health check. */
    static AttemptOutcome parseHealthCheckAnswer(byte[] payload) {
        boolean healthy = new String(payload, StandardCharsets.UTF_8).equals(HEALTHY);
        return healthy ? AttemptOutcome.OK : AttemptOutcome.ERROR;
    }

    /** Returns whether a value is valid UTF-8, so that it can be passed on unchanged in a client's answer. */
    static boolean isUtf8(byte[] value) {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(value));
            return true;
        } catch (CharacterCodingException e) {
            return false;
        }
    }

    /** Returns the settings' name for a figure of a load report; names that are not known are returned unchanged. */
    static String loadReportName(String name) {
        return LOAD_REPORT_NAMES.getOrDefault(name, name);
    }
}
