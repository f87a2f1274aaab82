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
     * Guards against a request that is written to a draining worker: the worker starts to drain while the connection
     * for the request is being established, which may be finished only after the time to stop.
     */
    @Test
    void requestThatWaitsForItsConnectionEndsWhenTheWorkerDrains() throws Exception {
        DeploymentSettings settings = TestDeploymentSettings.with(TestDeploymentSettings.SETTINGS
                        .replace("\"MaxAttempts\":4", "\"MaxAttempts\":1")
                        .replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20"))
                .withoutIdempotencyKeys();
        BlockingQueue<String> ended = new LinkedBlockingQueue<>();
        QueryListener listener = new QueryListener() {
            @Override
            public void onAnswer(Query query, boolean complete) {
                ended.add("answered");
            }

            @Override
            public void onRejected(Query query, double retryAfterS) {
                ended.add("refused " + query.parts().get(0).lastOutcome());
            }

            @Override
            public void onFailed(Query query, boolean overdue) {
                ended.add("failed " + query.parts().get(0).lastOutcome());
            }
        };
        try (EventLoop loop = new EventLoop(100, 1 << 16);
                ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            SearchBackend backend = new SearchBackend(
                    loop,
                    settings,
                    new OpenSearchConfig(null, new LinkedHashMap<>(Map.of("wallets", 2)), true, 8, 2, 300));
            Gatherer gatherer = new Gatherer(settings.scheduler(), 3, loop, backend, () -> {});
            backend.start(gatherer);
            WorkerEndpoint endpoint =
                    new WorkerEndpoint("w", "127.0.0.1:" + server.getLocalPort(), 0, 0, 0, EndpointState.HEALTHY, 1, 0);
            WorkerEndpoint draining =
                    new WorkerEndpoint("w", endpoint.address(), 0, 0, 0, EndpointState.DRAINING, 1, 0);
            loop.execute(() -> {
                gatherer.onEndpointList(EndpointListKind.COMPLETE, List.of(endpoint));
                gatherer.submit(
                        new QueryRequest(
                                "q", 2, "k", 30, List.of(new QueryRequest.RequestedPart(0, 1)), new byte[] {'t'}, null),
                        listener);
                // Runs after the batch that sends, before the loop can notice that the connection is established.
                loop.execute(() -> gatherer.onEndpointList(EndpointListKind.CHANGES, List.of(draining)));
            });
            assertEquals("refused " + AttemptOutcome.NOT_SENT, ended.poll(30, TimeUnit.SECONDS));
            server.setSoTimeout(30_000);
            try (Socket accepted = server.accept()) {
                assertEquals(-1, accepted.getInputStream().read(), "the request must not be written");
            }
        }
    }

    /**
     * Guards against starting a search that opens a scroll for a client that has disconnected while the connection was
     * being established. A cancelled search of this kind is allowed to finish, so that its context can be freed, and
     * one that had not started yet was started as well.
     */
    @Test
    void scrollThatWaitsForItsConnectionIsNotStartedOnceItsClientHasGone() throws Exception {
        DeploymentSettings settings = TestDeploymentSettings.with(
                TestDeploymentSettings.SETTINGS.replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20"));
        QueryListener listener = new QueryListener() {
            @Override
            public void onAnswer(Query query, boolean complete) {}

            @Override
            public void onRejected(Query query, double retryAfterS) {}

            @Override
            public void onFailed(Query query, boolean overdue) {}
        };
        try (EventLoop loop = new EventLoop(100, 1 << 16);
                ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            SearchBackend backend = new SearchBackend(
                    loop,
                    settings,
                    new OpenSearchConfig(null, new LinkedHashMap<>(Map.of("wallets", 2)), true, 8, 2, 300));
            Gatherer gatherer = new Gatherer(settings.scheduler(), 3, loop, backend, () -> {});
            backend.start(gatherer);
            WorkerEndpoint endpoint =
                    new WorkerEndpoint("w", "127.0.0.1:" + server.getLocalPort(), 0, 0, 0, EndpointState.HEALTHY, 1, 0);
            SearchRequest scroll = new SearchRequest("wallets", null, new JsonObject(), 0, 2, 60, null);
            loop.execute(() -> {
                gatherer.onEndpointList(EndpointListKind.COMPLETE, List.of(endpoint));
                Query query = gatherer.submit(
                        new QueryRequest(
                                "q",
                                1,
                                "",
                                30,
                                List.of(new QueryRequest.RequestedPart(0, 1)),
                                new byte[] {'t'},
                                scroll),
                        listener);
                // Runs after the batch that sends, before the loop can notice that the connection is established.
                loop.execute(() -> gatherer.onClientGone(query));
            });
            server.setSoTimeout(30_000);
            try (Socket accepted = server.accept()) {
                accepted.setSoTimeout(30_000);
                assertEquals(-1, accepted.getInputStream().read(), "the request must not be written");
            }
        }
    }
}
