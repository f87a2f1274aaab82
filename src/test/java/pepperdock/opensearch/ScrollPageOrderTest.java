package pepperdock.opensearch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.OpenSearchConfig;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.LogRateLimiter;
import pepperdock.transport.EventLoop;

/**
 * Guards against a second copy of a page that is served as the page of another scroll, because it arrives when the next
 * request has been written ({@code review/8}).
 */
class ScrollPageOrderTest {

    private static final Pattern REQUEST_ID = Pattern.compile("X-Opaque-Id: (\\S+)");
    private static final int TIMEOUT_S = 30;

    private final BlockingQueue<String> pages = new LinkedBlockingQueue<>();

    private void requestPage(SearchWorker worker, String scrollId) {
        worker.nextPage(
                0, scrollId, 60, TIMEOUT_S, () -> true, page -> pages.add(page == null ? "none" : page.scrollId()));
    }

    /** Reads one request and returns its id; the body ends with the brace of its only object. */
    private static String readRequestId(Socket connection) throws IOException {
        InputStream in = connection.getInputStream();
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        int next;
        do {
            next = in.read();
            request.write(next);
        } while (next != '}' && next >= 0);
        Matcher matcher = REQUEST_ID.matcher(request.toString(StandardCharsets.US_ASCII));
        assertTrue(matcher.find(), "a request for a page without an id");
        return matcher.group(1);
    }

    private static byte[] response(String requestId, String scrollId) {
        String body = "{\"_scroll_id\":\"" + scrollId
                + "\",\"_shards\":{\"total\":1,\"successful\":1,\"failed\":0},\"hits\":{\"hits\":[]}}";
        return ("HTTP/1.1 200 OK\r\nX-Opaque-Id: " + requestId + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    @Test
    void copyOfAPageIsNotServedAsTheNextPage() throws Exception {
        DeploymentSettings settings = TestDeploymentSettings.small();
        OpenSearchConfig config = new OpenSearchConfig(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), Map.of("a", 0), true, 1, 10, 60);
        try (EventLoop loop = new EventLoop(100, 1 << 20);
                ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            LogRateLimiter log = new LogRateLimiter(System.getLogger("test"), loop, "unusable answers");
            SearchWorker worker =
                    new SearchWorker("w", "127.0.0.1:" + server.getLocalPort(), loop, settings, config, null, log);
            loop.execute(() -> requestPage(worker, "first"));
            try (Socket connection = server.accept()) {
                String firstId = readRequestId(connection);
                connection.getOutputStream().write(response(firstId, "first"));
                assertEquals("first", pages.poll(TIMEOUT_S, TimeUnit.SECONDS));
                loop.execute(() -> requestPage(worker, "second"));
                readRequestId(connection);
                connection.getOutputStream().write(response(firstId, "first"));
                assertEquals("none", pages.poll(TIMEOUT_S, TimeUnit.SECONDS));
            }
        }
    }
}
