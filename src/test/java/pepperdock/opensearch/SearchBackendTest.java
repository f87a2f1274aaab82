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
import pepperdock.aggregator.Aggregator.ListKind;
import pepperdock.aggregator.Aggregator.Outcome;
import pepperdock.aggregator.Aggregator.Readiness;
import pepperdock.config.OpenSearchConfig;
import pepperdock.config.Site;
import pepperdock.config.Sites;
import pepperdock.core.Ask;
import pepperdock.core.Client;
import pepperdock.core.Gatherer;
import pepperdock.core.Host;
import pepperdock.core.Query;
import pepperdock.net.Loop;

@Timeout(60)
class SearchBackendTest {

    /**
     * Word that a worker drains, while the connection for a part to it is still coming up: found by reading, the request was
     * written whenever it came up, by then perhaps after the time to stop.
     */
    @Test
    void aRequestThatWaitsForItsConnectionEndsWhenTheWorkerDrains() throws Exception {
        Site site = Sites.with(Sites.SETTINGS
                        .replace("\"MaxAttempts\":4", "\"MaxAttempts\":1")
                        .replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20"))
                .withoutRepeats();
        BlockingQueue<String> ended = new LinkedBlockingQueue<>();
        Client client = new Client() {
            @Override
            public void answered(Query q, boolean whole) {
                ended.add("answered");
            }

            @Override
            public void refused(Query q, double pauseS) {
                ended.add("refused " + q.parts().get(0).lastOutcome());
            }

            @Override
            public void failed(Query q, boolean overdue) {
                ended.add("failed " + q.parts().get(0).lastOutcome());
            }
        };
        try (Loop loop = new Loop(100, 1 << 16);
                ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            SearchBackend backend = new SearchBackend(
                    loop, site, new OpenSearchConfig(null, new LinkedHashMap<>(Map.of("wallets", 2)), true, 8, 2, 300));
            Gatherer core = new Gatherer(site.module(), 3, loop, backend, () -> {});
            backend.start(core);
            Host host = new Host("w", "127.0.0.1:" + server.getLocalPort(), 0, 0, 0, Readiness.HEALTHY, 1, 0);
            Host drains = new Host("w", host.dial(), 0, 0, 0, Readiness.DRAINING, 1, 0);
            loop.execute(() -> {
                core.listed(ListKind.COMPLETE, List.of(host));
                core.take(new Ask("q", 2, "k", 30, List.of(new Ask.Piece(0, 1)), new byte[] {'t'}, null), client);
                // Right after the batch that sends, before the loop can tell that the connection is up.
                loop.execute(() -> core.listed(ListKind.CHANGES, List.of(drains)));
            });
            assertEquals("refused " + Outcome.MOOT, ended.poll(30, TimeUnit.SECONDS));
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
        Site site = Sites.with(Sites.SETTINGS.replace("\"DialTimeoutS\":0.25", "\"DialTimeoutS\":20"));
        Client client = new Client() {
            @Override
            public void answered(Query q, boolean whole) {}

            @Override
            public void refused(Query q, double pauseS) {}

            @Override
            public void failed(Query q, boolean overdue) {}
        };
        try (Loop loop = new Loop(100, 1 << 16);
                ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            SearchBackend backend = new SearchBackend(
                    loop, site, new OpenSearchConfig(null, new LinkedHashMap<>(Map.of("wallets", 2)), true, 8, 2, 300));
            Gatherer core = new Gatherer(site.module(), 3, loop, backend, () -> {});
            backend.start(core);
            Host host = new Host("w", "127.0.0.1:" + server.getLocalPort(), 0, 0, 0, Readiness.HEALTHY, 1, 0);
            SearchRequest scroll = new SearchRequest("wallets", null, new JsonObject(), 0, 2, 60, null);
            loop.execute(() -> {
                core.listed(ListKind.COMPLETE, List.of(host));
                Query q = core.take(
                        new Ask("q", 1, "", 30, List.of(new Ask.Piece(0, 1)), new byte[] {'t'}, scroll), client);
                // Right after the batch that sends, before the loop can tell that the connection is up.
                loop.execute(() -> core.gone(q));
            });
            server.setSoTimeout(30_000);
            try (Socket s = server.accept()) {
                s.setSoTimeout(30_000);
                assertEquals(-1, s.getInputStream().read(), "nothing of it was written");
            }
        }
    }
}
