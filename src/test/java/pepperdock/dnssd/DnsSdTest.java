package pepperdock.dnssd;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.Rcode;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.DnsSdConfig;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.EndpointListSnapshot;
import pepperdock.core.Gatherer;
import pepperdock.core.ManualClock;
import pepperdock.core.NoOpBackend;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointState;

/** Tests discovery against a fake server on loopback; the test advances the time and runs the library's callbacks. */
class DnsSdTest {

    private final ManualClock clock = new ManualClock(1000);
    private final BlockingQueue<Runnable> callbacks = new LinkedBlockingQueue<>();
    private final FakeDnsServer dns;
    private Collection<WorkerEndpoint> endpoints;
    private int listCount;
    /** The discovery that was started last, and its gatherer. */
    private DnsSdDiscovery discovery;

    private Gatherer gatherer;

    DnsSdTest() throws Exception {
        dns = new FakeDnsServer();
    }

    @BeforeEach
    void start() throws Exception {
        dns.instance("one", 8001, 60, "BLOCK=2", "block=3", "class=std");
        dns.instance("two", 8002, 10, "block=1", "health=terminating", "born_ms=5000");
        start(TestDeploymentSettings.small()).watch();
    }

    private DnsSdDiscovery start(DeploymentSettings settings) throws Exception {
        discovery = new DnsSdDiscovery(
                new DnsSdConfig(dns.address(), "_ledger._tcp", "room.example", 20, 1), settings, clock, callbacks::add);
        gatherer = new Gatherer(settings.scheduler(), 1, clock, new NoOpBackend(), discovery);
        gatherer.addEndpointListListener(reported -> {
            endpoints = reported;
            listCount++;
        });
        discovery.start(gatherer);
        return discovery;
    }

    @AfterEach
    void close() {
        dns.close();
    }

    /** Runs the library's callbacks until another list has been reported. */
    private void awaitNextList() throws Exception {
        int before = listCount;
        while (listCount == before) {
            Runnable callback = callbacks.poll(30, TimeUnit.SECONDS);
            assertTrue(callback != null, "no callback was handed over within 30 s");
            callback.run();
            clock.advance(0);
        }
    }

    /** Runs the two steps that follow a failed query: its answer, and the end of the browsing. */
    private void runCallbacksOfFailedQuery() throws Exception {
        for (int i = 0; i < 2; i++) {
            Runnable callback = callbacks.poll(30, TimeUnit.SECONDS);
            assertTrue(callback != null, "no callback was handed over within 30 s");
            callback.run();
        }
    }

    private Map<String, WorkerEndpoint> endpointsById() {
        return endpoints.stream().collect(java.util.stream.Collectors.toMap(WorkerEndpoint::id, h -> h));
    }

    @Test
    void instancesAreBrowsedAndResolved() throws Exception {
        awaitNextList();
        assertEquals(
                new WorkerEndpoint("one", "127.0.0.9:8001", 0, 0, 2, EndpointState.HEALTHY, 1, 0),
                endpointsById().get("one"));
        assertEquals(
                new WorkerEndpoint("two", "127.0.0.9:8002", 0, 0, 1, EndpointState.DRAINING, 1, 5),
                endpointsById().get("two"));
    }

    @Test
    void recordsAreCachedForTheirTtlAndQueriedAgainAfterIt() throws Exception {
        awaitNextList();
        clock.advance(9);
        assertEquals(7, dns.queries.size(), dns.queries.toString());
        dns.remove("two");
        clock.advance(2);
        awaitNextList();
        assertEquals(List.of("one"), List.copyOf(endpointsById().keySet()));
        // Each record has its own TTL: the records of the first instance were not queried again.
        assertEquals(
                1,
                dns.queries.stream()
                        .filter(a -> a.startsWith("one.") && a.endsWith("SRV"))
                        .count());
    }

    @Test
    void instanceWithoutUsableRecordsIsLeftOut() throws Exception {
        dns.instance("bad", 8003, 60, "block=x");
        awaitNextList();
        assertEquals(2, endpoints.size());
    }

    @Test
    void failingServerLeavesTheListInForceAndIsQueriedAgain() throws Exception {
        awaitNextList();
        dns.rcode = Rcode.SERVFAIL;
        clock.advance(11);
        runCallbacksOfFailedQuery();
        assertEquals(1, listCount);
        assertEquals(2, endpoints.size());
        dns.rcode = Rcode.NOERROR;
        clock.advance(3);
        awaitNextList();
        assertEquals(2, endpoints.size());
    }

    /**
     * Guards against records that are never asked for where the settings say that lists are pushed: the scheduler does
     * not ask then ({@code DnsPushed} of the second review).
     */
    @Test
    void recordsAreAskedForWhereListsArePushed() throws Exception {
        awaitNextList();
        dns.rcode = Rcode.SERVFAIL;
        start(TestDeploymentSettings.with(TestDeploymentSettings.SETTINGS.replace("subscribe", "automatic")));
        runCallbacksOfFailedQuery();
        dns.rcode = Rcode.NOERROR;
        clock.advance(1.5);
        awaitNextList();
        assertEquals(2, endpoints.size());
    }

    /**
     * Guards against a new process of an upgrade that sends to a node which withdrew its records, because the DNS server
     * does not answer it ({@code review/10}). Once the server has answered, the other process's cache counts no more.
     */
    @Test
    void listOfAnotherProcessIsUsedUntilTheServerAnswers() throws Exception {
        awaitNextList();
        EndpointListSnapshot both = discovery.snapshot(endpoints);
        EndpointListSnapshot one = new EndpointListSnapshot(
                both.source(), both.version() + 1, List.of(endpointsById().get("one")));
        DnsSdDiscovery replacement = start(TestDeploymentSettings.small());
        replacement.adopt(one, false);
        assertEquals(0, gatherer.listedEndpointCount(), "a list that was left behind");
        replacement.adopt(one, true);
        assertEquals(1, gatherer.listedEndpointCount());
        assertEquals(one, replacement.snapshot(one.endpoints()));
        replacement.watch();
        awaitNextList();
        assertEquals(2, gatherer.listedEndpointCount());
        replacement.adopt(one, true);
        assertEquals(2, gatherer.listedEndpointCount());
    }
}
