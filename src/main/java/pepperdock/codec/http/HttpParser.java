package pepperdock.codec.http;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Parses HTTP/1.1 messages, one after another, from bytes that arrive in chunks of any size. {@link #feed} returns how
 * many bytes it consumed, and stops after a message until {@link #take} has returned it.
 */
public final class HttpParser {

    private static final int MAX_LINE_BYTES = 8192;
    private static final int LINE_END_BYTES = 2;
    private static final int MAX_HEAD_BYTES = 16384;
    /** Maximum number of header fields: each costs far more time and memory than its bytes. */
    private static final int MAX_FIELDS = 100;
    /** Maximum size of the lines between the chunks of a body: a body in chunks of one byte has about as much. */
    private static final int MAX_CHUNK_OVERHEAD_BYTES = 1 << 19;
    /** Estimate of the memory that a header field needs beside its text, in bytes. */
    private static final int FIELD_OVERHEAD_BYTES = 160;

    /**
     * Maximum number of empty lines accepted before a message. Clients do not normally send more, and without a limit a
     * peer could send empty lines forever without beginning a message.
     */
    private static final int MAX_EMPTY_LINES = 4;

    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern METHOD = Pattern.compile("[A-Za-z]+");
    private static final Pattern HEADER_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9a-z-]+");
    private static final Pattern DIGITS = Pattern.compile("[0-9A-Fa-f]{1,16}");

    private enum State {
        START,
        HEADERS,
        BODY,
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        DONE
    }

    private final boolean parsingResponses;
    private final int maxBodyBytes;
    private State state = State.START;
    private String method;
    private String target;
    private int status;
    private boolean isHttp10;
    private Map<String, String> headers = new HashMap<>();
    private BodyBuffer body = new BodyBuffer();
    private int bodyBytesLeft;
    private int headBytes;
    private int fields;
    private int chunkOverheadBytes;
    /** Bytes of an incomplete line that hold no line end. */
    private int scannedBytes;

    private int emptyLines;

    private HttpParser(boolean parsingResponses, int maxBodyBytes) {
        this.parsingResponses = parsingResponses;
        this.maxBodyBytes = maxBodyBytes;
    }
    /** Returns a parser of requests with bodies of at most {@code maxBodyBytes} bytes. */
    public static HttpParser ofRequests(int maxBodyBytes) {
        return new HttpParser(false, maxBodyBytes);
    }
    /** Returns a parser of responses with bodies of at most {@code maxBodyBytes} bytes. */
    public static HttpParser ofResponses(int maxBodyBytes) {
        return new HttpParser(true, maxBodyBytes);
    }

    /**
     * Consumes bytes in {@code [from, to)} up to the end of a message and returns how many.
     *
     * @throws HttpException if the bytes are not an HTTP/1.1 message within the limits
     */
    public int feed(byte[] bytes, int from, int to) throws HttpException {
        int position = from;
        while (state != State.DONE) {
            boolean inBody = state == State.BODY || state == State.CHUNK || state == State.BODY_UNTIL_CLOSE;
            int consumed = inBody ? feedBody(bytes, position, to) : feedLine(bytes, position, to);
            position += consumed;
            if (inBody ? state == State.BODY_UNTIL_CLOSE || bodyBytesLeft > 0 : consumed == 0) {
                break;
            }
        }
        if (state == State.DONE && position < to && !parsingResponses && !mayBeginRequest(bytes[position])) {
            throw new HttpException(400, "what follows the request is not a request: its length does not fit");
        }
        return position - from;
    }

    /** Returns whether a request, or an empty line before it, may begin with a byte. */
    private static boolean mayBeginRequest(byte first) {
        return first == '\r' || METHOD.matcher(String.valueOf((char) first)).matches();
    }

    private int feedBody(byte[] bytes, int from, int to) throws HttpException {
        int count = state == State.BODY_UNTIL_CLOSE ? to - from : Math.min(bodyBytesLeft, to - from);
        checkBodySize(count);
        body.write(bytes, from, count);
        bodyBytesLeft -= count;
        if (state != State.BODY_UNTIL_CLOSE && bodyBytesLeft <= 0) {
            state = state == State.BODY ? State.DONE : State.CHUNK_END;
        }
        return count;
    }

    /** Consumes one line with its line end and returns its size; returns 0 if the line is not complete yet. */
    private int feedLine(byte[] bytes, int from, int to) throws HttpException {
        int end = from + scannedBytes;
        while (end < to && bytes[end] != '\n') {
            end++;
        }
        if (end - from > MAX_LINE_BYTES) {
            throw new HttpException(state == State.START ? 414 : 431, "line too long");
        }
        if (end == to) {
            scannedBytes = end - from;
            return 0;
        }
        scannedBytes = 0;
        int lineEnd = end - 1;
        if (lineEnd < from || bytes[lineEnd] != '\r') {
            throw new HttpException(400, "line end without CR");
        }
        parseLine(decodeLine(bytes, from, lineEnd));
        return end + 1 - from;
    }
    /** Returns whether a complete message can be taken. */
    public boolean isComplete() {
        return state == State.DONE;
    }

    /** Returns whether no part of the next message has been parsed. */
    public boolean isBeforeMessage() {
        return state == State.START && headBytes == 0;
    }

    /**
     * Handles the end of the input. This completes a response whose body extends until the peer closes the connection.
     */
    public void onEndOfInput() {
        if (state == State.BODY_UNTIL_CLOSE) {
            state = State.DONE;
        }
    }

    /** Returns the message and prepares the parser for the next one. */
    public HttpMessage take() {
        String connection = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
        boolean keepAlive = isHttp10 ? connection.contains("keep-alive") : !connection.contains("close");
        HttpMessage message = new HttpMessage(method, target, status, headers, body.toByteArray(), keepAlive);
        state = State.START;
        headers = new HashMap<>();
        body = new BodyBuffer();
        headBytes = 0;
        fields = 0;
        chunkOverheadBytes = 0;
        return message;
    }

    /** Returns an estimate of the memory held for a message that is not complete, in bytes. */
    public int heldBytes() {
        return headBytes + fields * FIELD_OVERHEAD_BYTES + body.capacity();
    }

    /**
     * Decodes a line. Rejects control characters, including a bare CR: some parsers take them for the end of a line,
     * others do not.
     */
    private static String decodeLine(byte[] bytes, int from, int to) throws HttpException {
        for (int i = from; i < to; i++) {
            if (bytes[i] >= 0 && bytes[i] < ' ' && bytes[i] != '\t' || bytes[i] == 0x7f) {
                throw new HttpException(400, "control character");
            }
        }
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    }

    private void parseLine(String text) throws HttpException {
        checkOverhead(text.length() + LINE_END_BYTES);
        switch (state) {
            case START -> parseStartLine(text);
            case HEADERS -> {
                if (text.isEmpty()) {
                    onHeadComplete();
                } else {
                    parseHeader(text);
                }
            }
            case CHUNK_SIZE -> {
                bodyBytesLeft = parseChunkSize(text);
                state = bodyBytesLeft > 0 ? State.CHUNK : State.TRAILERS;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new HttpException(400, "no line end after a chunk");
                }
                state = State.CHUNK_SIZE;
            }
            default -> {
                if (text.isEmpty()) {
                    state = State.DONE;
                }
            }
        }
    }

    /** Counts a line of the head, the trailers or between chunks, and rejects a message with too much of them. */
    private void checkOverhead(int lineBytes) throws HttpException {
        if (state == State.CHUNK_SIZE || state == State.CHUNK_END) {
            chunkOverheadBytes += lineBytes;
            if (chunkOverheadBytes > MAX_CHUNK_OVERHEAD_BYTES) {
                throw new HttpException(413, "too much between chunks");
            }
            return;
        }
        headBytes += lineBytes;
        boolean isField = state == State.HEADERS || state == State.TRAILERS;
        if (isField && headBytes > MAX_HEAD_BYTES) {
            throw new HttpException(431, "head too large");
        }
        if (isField && lineBytes > LINE_END_BYTES && ++fields > MAX_FIELDS) {
            throw new HttpException(431, "too many header fields");
        }
    }

    private void parseStartLine(String text) throws HttpException {
        if (text.isEmpty()) {
            headBytes = 0;
            if (++emptyLines > MAX_EMPTY_LINES) {
                throw new HttpException(400, "no request line");
            }
            return;
        }
        String[] fields = text.split(" ", 3);
        String version = fields.length < 2 ? "" : parsingResponses ? fields[0] : fields[fields.length - 1];
        if (!VERSION.matcher(version).matches() || !parsingResponses && fields.length != 3) {
            throw new HttpException(400, "not HTTP/1.1");
        }
        isHttp10 = version.endsWith("0");
        if (parsingResponses) {
            status = parseNumber(fields[1], 10, 999);
        } else {
            method = fields[0];
            target = fields[1];
            if (!METHOD.matcher(method).matches() || !target.startsWith("/")) {
                throw new HttpException(400, "bad request line");
            }
        }
        state = State.HEADERS;
        emptyLines = 0;
    }

    private void parseHeader(String text) throws HttpException {
        int colon = text.indexOf(':');
        String name = colon < 0 ? "" : text.substring(0, colon).toLowerCase(Locale.ROOT);
        if (!HEADER_NAME.matcher(name).matches()) {
            throw new HttpException(400, "bad header");
        }
        String value = text.substring(colon + 1).strip();
        // Repeated headers are joined, as the standard requires: a second coding, length or id is then invalid instead
        // of being ignored.
        if (headers.merge(name, value, (first, second) -> first + ", " + second).length() > value.length()
                && name.equals("content-length")) {
            throw new HttpException(400, "two lengths");
        }
    }

    private void onHeadComplete() throws HttpException {
        String coding = headers.get("transfer-encoding");
        String length = headers.get("content-length");
        if (coding != null) {
            // With both a length and a coding, or a coding in HTTP/1.0, another request may be hidden in the body.
            if (!coding.equalsIgnoreCase("chunked") || length != null || isHttp10) {
                throw new HttpException(400, "bad framing");
            }
            state = State.CHUNK_SIZE;
        } else if (length != null) {
            bodyBytesLeft = parseNumber(length, 10, Integer.MAX_VALUE);
            if (bodyBytesLeft > maxBodyBytes) {
                throw new HttpException(413, "body too large");
            }
            state = bodyBytesLeft > 0 ? State.BODY : State.DONE;
        } else if (parsingResponses && status >= 200 && status != 204 && status != 304) {
            state = State.BODY_UNTIL_CLOSE;
        } else {
            state = State.DONE;
        }
    }

    private int parseChunkSize(String text) throws HttpException {
        int semicolon = text.indexOf(';');
        return parseNumber(semicolon < 0 ? text : text.substring(0, semicolon), 16, Integer.MAX_VALUE);
    }

    private void checkBodySize(int count) throws HttpException {
        if (body.size() + (long) Math.max(count, state == State.CHUNK ? bodyBytesLeft : 0) > maxBodyBytes) {
            throw new HttpException(413, "body too large");
        }
    }

    private static int parseNumber(String text, int radix, int max) throws HttpException {
        try {
            if (!DIGITS.matcher(text).matches()) {
                throw new NumberFormatException(text);
            }
            long value = Long.parseLong(text, radix);
            if (value > max) {
                throw new HttpException(413, "too large");
            }
            return (int) value;
        } catch (NumberFormatException e) {
            throw new HttpException(400, "bad number");
        }
    }
}
