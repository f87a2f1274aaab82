package pepperdock.codec.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pepperdock.codec.frame.RandomChunks;

class HttpParserTest {

    private static List<HttpMessage> parse(HttpParser parser, byte[] bytes, long seed) throws Exception {
        return RandomChunks.feed(bytes, seed, (chunk, from, to, messages) -> {
            int used = parser.feed(chunk, from, to);
            if (parser.isComplete()) {
                messages.add(parser.take());
            }
            return used;
        });
    }

    @Property(seed = "41", tries = 200)
    void requestsAreParsedFromChunksOfAnySize(@ForAll long seed, @ForAll byte[] body) throws Exception {
        ByteArrayOutputStream requests = new ByteArrayOutputStream();
        requests.writeBytes(HttpWriter.request("POST", "/api?a=1%202", "h", "Request-Id: 7\r\n", body));
        requests.writeBytes("GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        List<HttpMessage> messages = parse(HttpParser.ofRequests(1 << 16), requests.toByteArray(), seed);
        assertEquals(2, messages.size());
        assertArrayEquals(body, messages.get(0).body());
        assertEquals(
                "POST /api 1 2 7",
                messages.get(0).method()
                        + ' '
                        + messages.get(0).path()
                        + ' '
                        + messages.get(0).parameter("a")
                        + ' '
                        + messages.get(0).header("Request-Id"));
        assertEquals(
                "true false",
                messages.get(0).keepAlive() + " " + messages.get(1).keepAlive());
    }

    /**
     * Guards against a request that is served although its length does not fit: the rest of its body, or a body after a
     * length of 0, can't be the next request.
     */
    @ParameterizedTest
    @CsvSource({"0,'{\"query\":{}}'", "3,'{}x{}'", "2,'{}\u0000'", "2,'{}{\"query\":{}}'"})
    void requestWhoseLengthDoesNotFitIsRejected(int length, String body) {
        byte[] bytes = ("POST /api HTTP/1.1\r\nContent-Length: " + length + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
        HttpException e = assertThrows(
                HttpException.class, () -> HttpParser.ofRequests(100).feed(bytes, 0, bytes.length));
        assertEquals(400, e.status());
    }

    @Property(seed = "42", tries = 200)
    void chunkedResponsesAreParsedFromChunksOfAnySize(@ForAll long seed) throws Exception {
        String text =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nwiki\r\nb\r\npedia+12345\r\n0\r\nT: t\r\n\r\n";
        byte[] twoResponses = (text + text).getBytes(StandardCharsets.US_ASCII);
        List<HttpMessage> messages = parse(HttpParser.ofResponses(100), twoResponses, seed);
        assertEquals(2, messages.size());
        assertEquals("wikipedia+12345", new String(messages.get(1).body(), StandardCharsets.US_ASCII));
    }

    @Property(seed = "43", tries = 300)
    void randomBytesYieldMessagesOrAnHttpException(@ForAll long seed) {
        try {
            assertTrue(parse(HttpParser.ofRequests(100), RandomChunks.randomBytes(seed), seed)
                            .size()
                    < 600);
        } catch (Exception e) {
            assertEquals(HttpException.class, e.getClass());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "'GET / HTTP/2.0~~', 400",
        "'nonsense~~', 400",
        "'GET / HTTP/1.1~bad header~~', 400",
        "'POST / HTTP/1.1~Content-Length: 101~~', 413",
        "'POST / HTTP/1.1~Content-Length: -1~~', 400",
        "'POST / HTTP/1.1~Content-Length: 1~Content-Length: 2~~', 400",
        "'POST / HTTP/1.1~Transfer-Encoding: chunked~~65~', 413",
        "'POST / HTTP/1.1~Transfer-Encoding: chunked~Content-Length: 1~~', 400",
        "'POST / HTTP/1.1~Content-Length: 1~Content-Length: 1~~', 400",
        "'POST / HTTP/1.1~Transfer-Encoding: chunked~Transfer-Encoding: identity~~', 400",
        "'POST / HTTP/1.1~Transfer-Encoding: xchunked~~', 400",
        "'POST / HTTP/1.0~Transfer-Encoding: chunked~~', 400",
        "'POST / HTTP/1.1~Transfer-Encoding : chunked~~', 400",
        "'POST / HTTP/1.1~Transfer-Encoding: \u000bchunked~~', 400",
        "'POST / HTTP/1.1~Transfer-Encoding: chunked~~0x1~', 400",
        "'POST / HTTP/1.1~Transfer-Encoding: chunked~~-1~', 400",
        "'POST / HTTP/1.1~Transfer-Encoding: chunked~~1 ~', 400",
        "'POST / HTTP/1.1~Transfer-Encoding: chunked~~1~ab~', 400",
        "'GET / HTTP/1.1~A: b\rContent-Length: 5~~', 400",
        "'GET / HTTP/1.1\n\n', 400",
        "'~~~~~~', 400"
    })
    void aMalformedRequestIsRejectedWithTheMatchingStatus(String text, int status) {
        byte[] bytes = text.replace("~", "\r\n").getBytes(StandardCharsets.US_ASCII);
        HttpException e = assertThrows(
                HttpException.class, () -> HttpParser.ofRequests(100).feed(bytes, 0, bytes.length));
        assertEquals(status, e.status());
    }

    @ParameterizedTest
    @CsvSource({"'GET /', 9000, 414", "'GET / HTTP/1.1~A: ', 9000, 431"})
    void anOverlongLineIsRejectedBeforeItEnds(String text, int extraBytes, int status) {
        byte[] bytes = (text.replace("~", "\r\n") + "x".repeat(extraBytes)).getBytes(StandardCharsets.US_ASCII);
        HttpException e = assertThrows(
                HttpException.class, () -> HttpParser.ofRequests(100).feed(bytes, 0, bytes.length));
        assertEquals(status, e.status());
    }

    /** A head of 16 KiB in short fields took milliseconds, and half a MiB of memory. */
    @ParameterizedTest
    @CsvSource({"100, 0", "101, 431"})
    void theNumberOfHeaderFieldsIsLimited(int fields, int status) throws Exception {
        StringBuilder head = new StringBuilder("GET / HTTP/1.1\r\n");
        for (int i = 0; i < fields; i++) {
            head.append('f').append(i).append(":\r\n");
        }
        byte[] bytes = head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII);
        HttpParser parser = HttpParser.ofRequests(100);
        if (status == 0) {
            assertEquals(bytes.length, parser.feed(bytes, 0, bytes.length));
            assertEquals(fields, parser.take().headers().size());
        } else {
            HttpException e = assertThrows(HttpException.class, () -> parser.feed(bytes, 0, bytes.length));
            assertEquals(status, e.status());
        }
    }

    /** The lines between chunks were counted as part of the head, so that many small chunks were refused. */
    @Test
    void aBodyOfTheGreatestSizeInChunksOfOneByteIsParsed() throws Exception {
        int size = 64 << 10;
        String text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(size) + "0\r\n\r\n";
        List<HttpMessage> messages = parse(HttpParser.ofRequests(size), text.getBytes(StandardCharsets.US_ASCII), 5);
        assertEquals(size, messages.get(0).body().length);
    }

    @Test
    void extensionsOfChunksAreLimited() {
        String text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                + ("1;" + "e".repeat(8000) + "\r\nx\r\n").repeat(80);
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        HttpException e = assertThrows(
                HttpException.class, () -> HttpParser.ofRequests(1 << 16).feed(bytes, 0, bytes.length));
        assertEquals(413, e.status());
    }

    /** A line was scanned from its begin for each piece of it. */
    @Test
    void whatWasScannedOfALineIsNotScannedAgain() throws Exception {
        byte[] bytes = "GET /long-target-in-pieces".getBytes(StandardCharsets.US_ASCII);
        HttpParser parser = HttpParser.ofRequests(100);
        assertEquals(0, parser.feed(bytes, 0, bytes.length - 1));
        bytes[3] = '\n';
        assertEquals(0, parser.feed(bytes, 0, bytes.length), "the line end behind the scanned part is not looked at");
    }
}
