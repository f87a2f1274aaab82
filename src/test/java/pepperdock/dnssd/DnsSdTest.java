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
import pepperdock.config.DnsSdConfig;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.core.ManualClock;
import pepperdock.core.NoOpBackend;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointState;

/** Against a stand-in server on loopback; time is moved by hand, and the library's answers are run by the test. */
class DnsSdTest {

    private final ManualClock clock = new ManualClock(1000);
    private final BlockingQueue<Runnable> thread = new LinkedBlockingQueue<>();
    private final StandInDns dns;
    private Collection<WorkerEndpoint> listed;
    private int lists;

    DnsSdTest() throws Exception {
        dns = new StandInDns();
    }

    @BeforeEach
    void start() throws Exception {
        DnsSdDiscovery sd = new DnsSdDiscovery(
                new DnsSdConfig(dns.address(), "_ledger._tcp", "room.example", 20, 1),
                TestDeploymentSettings.small(),
                clock,
                thread::add);
        Gatherer core = new Gatherer(TestDeploymentSettings.small().scheduler(), 1, clock, new NoOpBackend(), sd);
        sd.start(core);
        core.addEndpointListListener(hosts -> {
            listed = hosts;
            lists++;
        });
        dns.instance("one", 8001, 60, "BLOCK=2", "block=3", "class=std");
        dns.instance("two", 8002, 10, "block=1", "health=terminating", "born_ms=5000");
        sd.watch();
    }

    @AfterEach
    void close() {
        dns.close();
    }

    /** Runs what the library hands over until another list has been told. */
    private void next() throws Exception {
        int before = lists;
        while (lists == before) {
            Runnable step = thread.poll(30, TimeUnit.SECONDS);
            assertTrue(step != null, "no list came");
            step.run();
            clock.advance(0);
        }
    }

    private Map<String, WorkerEndpoint> hosts() {
        return listed.stream().collect(java.util.stream.Collectors.toMap(WorkerEndpoint::id, h -> h));
    }

    @Test
    void instancesAreBrowsedAndResolved() throws Exception {
        next();
        assertEquals(
                new WorkerEndpoint("one", "127.0.0.9:8001", 0, 0, 2, EndpointState.HEALTHY, 1, 0), hosts().get("one"));
        assertEquals(
                new WorkerEndpoint("two", "127.0.0.9:8002", 0, 0, 1, EndpointState.DRAINING, 1, 5), hosts().get("two"));
    }

    @Test
    void recordsAreKeptForTheirTimeAndAskedForAgainAfterIt() throws Exception {
        next();
        clock.advance(9);
        assertEquals(7, dns.asked.size(), dns.asked.toString());
        dns.remove("two");
        clock.advance(2);
        next();
        assertEquals(List.of("one"), List.copyOf(hosts().keySet()));
        // A TTL belongs to its record: of the first instance nothing was asked again.
        assertEquals(
                1,
                dns.asked.stream()
                        .filter(a -> a.startsWith("one.") && a.endsWith("SRV"))
                        .count());
    }

    @Test
    void anInstanceWithoutUsableRecordsIsLeftOut() throws Exception {
        dns.instance("bad", 8003, 60, "block=x");
        next();
        assertEquals(2, listed.size());
    }

    @Test
    void aFailingServerIsAFailureTheListStaysAndItIsAskedAgain() throws Exception {
        next();
        dns.rcode = Rcode.SERVFAIL;
        clock.advance(11);
        for (int step = 0; step < 2; step++) {
            Runnable task = thread.poll(30, TimeUnit.SECONDS);
            assertTrue(task != null, "no answer came");
            task.run();
        }
        assertEquals(1, lists);
        assertEquals(2, listed.size());
        dns.rcode = Rcode.NOERROR;
        clock.advance(3);
        next();
        assertEquals(2, listed.size());
    }
}
