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
 * The messages of the workers' protocol (protocol, section "Gatherers to workers"): encodes those to a worker, parses those
 * from it, and maps the protocol's words to the core's terms. Stateless; may be used on any thread.
 */
public final class WorkerProtocol {

    /** Frame type, to a worker: a call with one or more parts. */
    public static final char CALL = 'm';
    /** Frame type, to a worker: a part that is no longer wanted. */
    public static final char CANCEL = 'n';
    /** Frame type, both ways: a health check and its answer. */
    public static final char HEALTH_CHECK = 'o';
    /** Frame type, from a worker: the result of one part. */
    public static final char RESULT = 'q';
    /** Frame type, from a worker: the last frame could not be used, and the worker closes the connection. */
    public static final char PROTOCOL_ERROR = 'r';

    /** The types that a worker may send here; checks for load reports are never sent, so their answers are not expected. */
    static final String TYPES_FROM_WORKERS = "" + HEALTH_CHECK + RESULT + PROTOCOL_ERROR;

    /** Bytes: a value is at most what a client's answer may hold, 64 KiB; its header comes before it. */
    static final int MAX_FRAME_BYTES = (1 << 16) + 2048;

    /** Bytes: an id, two words and a load report fit well within it. */
    private static final int MAX_RESULT_HEADER_BYTES = 1024;

    /** The fields of a result's header: id, outcome, score, load report. */
    private static final int RESULT_HEADER_FIELDS = 4;

    private static final String HEALTHY = "good";

    private static final Map<String, AttemptOutcome> OUTCOMES = Map.of(
            "good", AttemptOutcome.OK,
            "bad", AttemptOutcome.ERROR,
            "later", AttemptOutcome.OVERLOADED);

    /** The settings' names of the figures in a load report, by the names that the workers give them. */
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
     * @param idempotencyKey empty where the query's class has none
     * @param body the query's text, passed on unchanged
     */
    public record CallPart(String id, int shard, long timeoutMs, String idempotencyKey, byte[] body) {}

    /** The line that a result begins with. */
    record ResultHeader(String id, AttemptOutcome outcome, String loadReport) {}

    /** The result of one part. */
    record Result(ResultHeader header, byte[] value) {}

    /** The id of an attempt's part on the wire: hedged requests and retries of a part share it. */
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
            throw new FrameException("result without header");
        }
        int headerEnd = indexOfLineEnd(payload, 0, payload.length);
        return new Result(header, Arrays.copyOfRange(payload, headerEnd + 1, payload.length));
    }

    /**
     * Parses the header of a result of which only a beginning may have arrived; null while the header is incomplete. The load
     * report is the rest of the line, whatever it holds: an unreadable report does not invalidate the result.
     */
    static ResultHeader parseResultHeader(byte[] bytes, int from, int to) throws FrameException {
        int end = indexOfLineEnd(bytes, from, to);
        if (end - from > MAX_RESULT_HEADER_BYTES) {
            throw new FrameException("result header too long");
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

    /** The index of the first line feed, or {@code to} where there is none. */
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

    /** Whether a value is valid UTF-8, so that it can be passed on in a client's answer unchanged. */
    static boolean isText(byte[] value) {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(value));
            return true;
        } catch (CharacterCodingException e) {
            return false;
        }
    }

    /** The settings' name of a figure in a load report; names that are not known stay as they are. */
    static String loadReportName(String name) {
        return LOAD_REPORT_NAMES.getOrDefault(name, name);
    }
}
