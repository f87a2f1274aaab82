package pepperdock.codec.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Writes whole HTTP/1.1 messages. */
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

    /** A response; {@code extra} is whole header lines with their line ends, or empty. */
    public static byte[] response(int status, String type, String extra, byte[] body, boolean keepAlive) {
        return join(
                "HTTP/1.1 " + status + ' ' + REASONS.getOrDefault(status, "Status") + "\r\nContent-Type: " + type
                        + "\r\n" + extra + (keepAlive ? "" : "Connection: close\r\n"),
                body);
    }

    /** Encodes a request; {@code extra} is further header lines, each with its line end, or empty. */
    public static byte[] request(String method, String target, String host, String extra, byte[] body) {
        return join(method + ' ' + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + extra, body);
    }

    private static byte[] join(String head, byte[] body) {
        byte[] first = (head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[first.length + body.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(body, 0, all, first.length, body.length);
        return all;
    }
}
