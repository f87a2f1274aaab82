package pepperdock.codec.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Encodes complete HTTP/1.1 messages. */
public final class HttpWriter {

    private static final Map<Integer, String> REASONS = Map.ofEntries(
            Map.entry(200, "OK"),
            Map.entry(400, "Bad Request"),
            Map.entry(404, "Not Found"),
            Map.entry(405, "Method Not Allowed"),
            Map.entry(408, "Request Timeout"),
            Map.entry(409, "Conflict"),
            Map.entry(413, "Content Too Large"),
            Map.entry(414, "URI Too Long"),
            Map.entry(429, "Too Many Requests"),
            Map.entry(431, "Request Header Fields Too Large"),
            Map.entry(500, "Internal Server Error"),
            Map.entry(503, "Service Unavailable"),
            Map.entry(504, "Gateway Timeout"));

    private HttpWriter() {}

    /** Encodes a response; {@code extraHeaders} holds further header lines, each with its line end, or empty. */
    public static byte[] response(int status, String contentType, String extraHeaders, byte[] body, boolean keepAlive) {
        return join(
                "HTTP/1.1 " + status + ' ' + REASONS.getOrDefault(status, "Status") + "\r\nContent-Type: " + contentType
                        + "\r\n" + extraHeaders + (keepAlive ? "" : "Connection: close\r\n"),
                body);
    }

    /** Encodes a request; {@code extraHeaders} holds further header lines, each with its line end, or empty. */
    public static byte[] request(String method, String target, String host, String extraHeaders, byte[] body) {
        return join(method + ' ' + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + extraHeaders, body);
    }

    private static byte[] join(String head, byte[] body) {
        byte[] headBytes = (head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, message, 0, headBytes.length);
        System.arraycopy(body, 0, message, headBytes.length, body.length);
        return message;
    }
}
