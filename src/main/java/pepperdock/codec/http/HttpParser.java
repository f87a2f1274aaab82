package pepperdock.codec.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Reads HTTP/1.1 messages, one after another, from bytes that come in any cuts. Feed it what has come; it says how much
 * it used, and stops after a message until {@link #take} hands that over.
 */
public final class HttpParser {

    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_HEAD_BYTES = 16384;
    /** Empty lines that may stand before a message; more are no client's habit but a head that never begins. */
    private static final int MAX_EMPTY_LINES = 4;

    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern METHOD = Pattern.compile("[A-Za-z]+");
    private static final Pattern NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9a-z-]+");
    private static final Pattern DIGITS = Pattern.compile("[0-9A-Fa-f]{1,16}");

    private enum At {
        START,
        HEADERS,
        BODY,
        TO_END,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        DONE
    }

    private final boolean responses;
    private final int maxBodyBytes;
    private At at = At.START;
    private String method;
    private String target;
    private int status;
    private boolean isHttp10;
    private Map<String, String> headers = new HashMap<>();
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private int bodyBytesLeft;
    private int head;
    private int emptyLines;

    private HttpParser(boolean responses, int maxBodyBytes) {
        this.responses = responses;
        this.maxBodyBytes = maxBodyBytes;
    }
    /** Parses requests with bodies of at most {@code maxBodyBytes} bytes. */
    public static HttpParser ofRequests(int maxBodyBytes) {
        return new HttpParser(false, maxBodyBytes);
    }
    /** Parses responses with bodies of at most {@code maxBodyBytes} bytes. */
    public static HttpParser ofResponses(int maxBodyBytes) {
        return new HttpParser(true, maxBodyBytes);
    }

    /**
     * Consumes bytes in {@code [from, to)} up to the end of a message; returns how many.
     *
     * @throws HttpException if the bytes are no HTTP/1.1 message within the limits
     */
    public int feed(byte[] bytes, int from, int to) throws HttpException {
        int position = from;
        while (at != At.DONE) {
            boolean inBody = at == At.BODY || at == At.CHUNK || at == At.TO_END;
            int consumed = inBody ? feedBody(bytes, position, to) : feedLine(bytes, position, to);
            position += consumed;
            if (inBody ? at == At.TO_END || bodyBytesLeft > 0 : consumed == 0) {
                break;
            }
        }
        return position - from;
    }

    private int feedBody(byte[] bytes, int from, int to) throws HttpException {
        int count = at == At.TO_END ? to - from : Math.min(bodyBytesLeft, to - from);
        grow(count);
        body.write(bytes, from, count);
        bodyBytesLeft -= count;
        if (at != At.TO_END && bodyBytesLeft <= 0) {
            at = at == At.BODY ? At.DONE : At.CHUNK_END;
        }
        return count;
    }

    /** Consumes one line with its end; 0 where it is not complete yet. */
    private int feedLine(byte[] bytes, int from, int to) throws HttpException {
        int end = from;
        while (end < to && bytes[end] != '\n') {
            end++;
        }
        if (end - from > MAX_LINE_BYTES) {
            throw new HttpException(at == At.START ? 414 : 431, "line too long");
        }
        if (end == to) {
            return 0;
        }
        int last = end - 1;
        if (last < from || bytes[last] != '\r') {
            throw new HttpException(400, "line end without CR");
        }
        line(text(bytes, from, last));
        return end + 1 - from;
    }
    /** Whether a complete message can be taken. */
    public boolean isComplete() {
        return at == At.DONE;
    }

    /** Whether nothing of a next message has been seen. */
    public boolean isBeforeMessage() {
        return at == At.START && head == 0;
    }

    /** The other side has closed; completes a response whose length that marks. */
    public void onEndOfInput() {
        if (at == At.TO_END) {
            at = At.DONE;
        }
    }

    /** Hands over the message and makes ready for the next. */
    public HttpMessage take() {
        String connection = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
        boolean keep = isHttp10 ? connection.contains("keep-alive") : !connection.contains("close");
        HttpMessage m = new HttpMessage(method, target, status, headers, body.toByteArray(), keep);
        at = At.START;
        headers = new HashMap<>();
        body = new ByteArrayOutputStream(0);
        head = 0;
        return m;
    }

    /** Control characters, a bare CR among them, end a line for one reader and not for the next: none is let in. */
    private static String text(byte[] bytes, int from, int to) throws HttpException {
        for (int i = from; i < to; i++) {
            if (bytes[i] >= 0 && bytes[i] < ' ' && bytes[i] != '\t' || bytes[i] == 0x7f) {
                throw new HttpException(400, "control character");
            }
        }
        return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
    }

    private void line(String text) throws HttpException {
        head += text.length() + 2;
        if (head > MAX_HEAD_BYTES && (at == At.HEADERS || at == At.TRAILERS)) {
            throw new HttpException(431, "head too large");
        }
        switch (at) {
            case START -> start(text);
            case HEADERS -> {
                if (text.isEmpty()) {
                    headEnds();
                } else {
                    header(text);
                }
            }
            case CHUNK_SIZE -> {
                bodyBytesLeft = chunkSize(text);
                at = bodyBytesLeft > 0 ? At.CHUNK : At.TRAILERS;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new HttpException(400, "no line end after a chunk");
                }
                at = At.CHUNK_SIZE;
            }
            default -> {
                if (text.isEmpty()) {
                    at = At.DONE;
                }
            }
        }
    }

    private void start(String text) throws HttpException {
        if (text.isEmpty()) {
            head = 0;
            if (++emptyLines > MAX_EMPTY_LINES) {
                throw new HttpException(400, "no request line");
            }
            return;
        }
        String[] words = text.split(" ", 3);
        String version = words.length < 2 ? "" : responses ? words[0] : words[words.length - 1];
        if (!VERSION.matcher(version).matches() || !responses && words.length != 3) {
            throw new HttpException(400, "not HTTP/1.1");
        }
        isHttp10 = version.endsWith("0");
        if (responses) {
            status = number(words[1], 10, 999);
        } else {
            method = words[0];
            target = words[1];
            if (!METHOD.matcher(method).matches() || !target.startsWith("/")) {
                throw new HttpException(400, "bad request line");
            }
        }
        at = At.HEADERS;
        emptyLines = 0;
    }

    private void header(String text) throws HttpException {
        int colon = text.indexOf(':');
        String name = colon < 0 ? "" : text.substring(0, colon).toLowerCase(Locale.ROOT);
        if (!NAME.matcher(name).matches()) {
            throw new HttpException(400, "bad header");
        }
        String value = text.substring(colon + 1).strip();
        // Joined as the standard has it: a second coding, length or id then fits nothing, instead of being passed over.
        if (headers.merge(name, value, (first, second) -> first + ", " + second).length() > value.length()
                && name.equals("content-length")) {
            throw new HttpException(400, "two lengths");
        }
    }

    private void headEnds() throws HttpException {
        String coding = headers.get("transfer-encoding");
        String length = headers.get("content-length");
        if (coding != null) {
            // Both a length and a coding, or a coding of an old version: another request may hide in the body.
            if (!coding.equalsIgnoreCase("chunked") || length != null || isHttp10) {
                throw new HttpException(400, "bad framing");
            }
            at = At.CHUNK_SIZE;
        } else if (length != null) {
            bodyBytesLeft = number(length, 10, Integer.MAX_VALUE);
            if (bodyBytesLeft > maxBodyBytes) {
                throw new HttpException(413, "body too large");
            }
            at = bodyBytesLeft > 0 ? At.BODY : At.DONE;
        } else if (responses && status >= 200 && status != 204 && status != 304) {
            at = At.TO_END;
        } else {
            at = At.DONE;
        }
    }

    private int chunkSize(String text) throws HttpException {
        int semicolon = text.indexOf(';');
        return number(semicolon < 0 ? text : text.substring(0, semicolon), 16, Integer.MAX_VALUE);
    }

    private void grow(int count) throws HttpException {
        if (body.size() + (long) Math.max(count, at == At.CHUNK ? bodyBytesLeft : 0) > maxBodyBytes) {
            throw new HttpException(413, "body too large");
        }
    }

    private static int number(String text, int radix, int most) throws HttpException {
        try {
            if (!DIGITS.matcher(text).matches()) {
                throw new NumberFormatException(text);
            }
            long value = Long.parseLong(text, radix);
            if (value > most) {
                throw new HttpException(413, "too large");
            }
            return (int) value;
        } catch (NumberFormatException e) {
            throw new HttpException(400, "bad number");
        }
    }
}
