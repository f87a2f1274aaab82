package pepperdock.opensearch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonObject;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.OpenSearchConfig;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.core.Query;
import pepperdock.core.QueryListener;
import pepperdock.core.QueryRequest;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.AttemptOutcome;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;
import pepperdock.transport.EventLoop;

@Timeout(60)
class SearchBackendTest {

    /**
     * Word that a worker drains, while the connection for a part to it is still coming up: found by reading, the request was
     * written whenever it came up, by then perhaps after the time to stop.
     */
    @Test
    void aRequestThatWaitsForItsConnectionEndsWhenTheWorkerDrains() throws Exception {
        DeploymentSettings site = TestDeploymentSettings.with(TestDeploymentSettings.SETTINGS
                        .replace("\"MaxAttempts\":4", "\"MaxAttempts\":1")
                        .replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20"))
                .withoutIdempotencyKeys();
        BlockingQueue<String> ended = new LinkedBlockingQueue<>();
        QueryListener client = new QueryListener() {
            @Override
            public void onAnswer(Query q, boolean whole) {
                ended.add("answered");
            }

            @Override
            public void onRejected(Query q, double pauseS) {
                ended.add("refused " + q.parts().get(0).lastOutcome());
            }

            @Override
            public void onFailed(Query q, boolean overdue) {
                ended.add("failed " + q.parts().get(0).lastOutcome());
            }
        };
        try (EventLoop loop = new EventLoop(100, 1 << 16);
                ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            SearchBackend backend = new SearchBackend(
                    loop, site, new OpenSearchConfig(null, new LinkedHashMap<>(Map.of("wallets", 2)), true, 8, 2, 300));
            Gatherer core = new Gatherer(site.scheduler(), 3, loop, backend, () -> {});
            backend.start(core);
            WorkerEndpoint host =
                    new WorkerEndpoint("w", "127.0.0.1:" + server.getLocalPort(), 0, 0, 0, EndpointState.HEALTHY, 1, 0);
            WorkerEndpoint drains = new WorkerEndpoint("w", host.address(), 0, 0, 0, EndpointState.DRAINING, 1, 0);
            loop.execute(() -> {
                core.onEndpointList(EndpointListKind.COMPLETE, List.of(host));
                core.submit(
                        new QueryRequest(
                                "q", 2, "k", 30, List.of(new QueryRequest.RequestedPart(0, 1)), new byte[] {'t'}, null),
                        client);
                // Right after the batch that sends, before the loop can tell that the connection is up.
                loop.execute(() -> core.onEndpointList(EndpointListKind.CHANGES, List.of(drains)));
            });
            assertEquals("refused " + AttemptOutcome.NOT_SENT, ended.poll(30, TimeUnit.SECONDS));
            server.setSoTimeout(30_000);
            try (Socket s = server.accept()) {
                assertEquals(-1, s.getInputStream().read(), "nothing of it was written");
            }
        }
    }

    /**
     * A search that opens a scroll, whose client goes while the connection for it is still coming up. Found by reading: called
     * off, such a search is let finish for its context's sake, and one that had not begun was begun for nobody.
     */
    @Test
    void aScrollThatWaitsForItsConnectionIsNotBegunOnceItsClientHasGone() throws Exception {
        DeploymentSettings site = TestDeploymentSettings.with(
                TestDeploymentSettings.SETTINGS.replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20"));
        QueryListener client = new QueryListener() {
            @Override
            public void onAnswer(Query q, boolean whole) {}

            @Override
            public void onRejected(Query q, double pauseS) {}

            @Override
            public void onFailed(Query q, boolean overdue) {}
        };
        try (EventLoop loop = new EventLoop(100, 1 << 16);
                ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            SearchBackend backend = new SearchBackend(
                    loop, site, new OpenSearchConfig(null, new LinkedHashMap<>(Map.of("wallets", 2)), true, 8, 2, 300));
            Gatherer core = new Gatherer(site.scheduler(), 3, loop, backend, () -> {});
            backend.start(core);
            WorkerEndpoint host =
                    new WorkerEndpoint("w", "127.0.0.1:" + server.getLocalPort(), 0, 0, 0, EndpointState.HEALTHY, 1, 0);
            SearchRequest scroll = new SearchRequest("wallets", null, new JsonObject(), 0, 2, 60, null);
            loop.execute(() -> {
                core.onEndpointList(EndpointListKind.COMPLETE, List.of(host));
                Query q = core.submit(
                        new QueryRequest(
                                "q",
                                1,
                                "",
                                30,
                                List.of(new QueryRequest.RequestedPart(0, 1)),
                                new byte[] {'t'},
                                scroll),
                        client);
                // Right after the batch that sends, before the loop can tell that the connection is up.
                loop.execute(() -> core.onClientGone(q));
            });
            server.setSoTimeout(30_000);
            try (Socket s = server.accept()) {
                s.setSoTimeout(30_000);
                assertEquals(-1, s.getInputStream().read(), "nothing of it was written");
            }
        }
    }
}
