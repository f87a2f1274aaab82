package pepperdock.platform;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import pepperdock.codec.http.HttpMessage;
import pepperdock.codec.http.HttpWriter;
import pepperdock.config.ConfigException;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.EndpointListJson;
import pepperdock.core.Clock;
import pepperdock.core.EndpointDiscovery;
import pepperdock.core.Gatherer;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpClient;

/**
 * Watches the platform's endpoint list by long polls: each poll is sent as soon as the last is answered.
 *
 * <p>A poll that is overdue is retried on a new connection at once, and the first of the two answers is used: events count as
 * delivered after a fixed time, whether they arrived or not. After a poll that failed, the core decides when to poll again, as
 * discovery is one service for all gatherers. Where the settings say that lists are pushed, a local agent holds the list, and
 * the watch retries by itself with backoff.
 *
 * <p>Made with the loop that owns it, and started with the gatherer that takes the lists; all else runs on the loop's thread.
 */
public final class EndpointWatch implements EndpointDiscovery {

    private static final System.Logger LOG = System.getLogger("pepperdock.platform");
    /**
     * Milliseconds that discovery may hold the first poll, and the first after a failure: next to none, so that the loss of
     * one is noticed early. It returns what changed since the version in hand.
     */
    static final int FIRST_POLL_MS = 1;
    /** Milliseconds that discovery may hold a long poll; events in it count as delivered 2 s after that. */
    static final int LONG_POLL_MS = 8000;
    /**
     * Seconds until a poll that is not held is overdue. Discovery serves polls in turn and ends those that waited some
     * seconds: when overloaded, it answers just before that limit.
     */
    private static final double FIRST_POLL_TIMEOUT_S = 3;
    /** The same after a change of address, when events count as delivered after 4 s: there is time for two polls. */
    static final double ADDRESS_CHANGE_TIMEOUT_S = 2.3;
    /**
     * Seconds past the end of its wait until a long poll is overdue: what it misses counts as delivered 2 s after the wait,
     * or 6 s after discovery became unreachable, if that is later. Shorter waits would gain nothing down to 4 s, and would
     * cost discovery more polls.
     */
    private static final double LONG_POLL_MARGIN_S = 0.5;
    /** Seconds that an overdue poll is kept open beside its retry: no longer than discovery itself would hold it. */
    private static final double OVERDUE_TIMEOUT_S = 3;

    /** Seconds for a connection to be established. */
    private static final double CONNECT_TIMEOUT_S = 1;
    /** The same for the retry of an overdue poll: if the path is lost, there must be time for one more connection. */
    private static final double RETRY_CONNECT_TIMEOUT_S = 0.5;
    /**
     * Seconds from one poll of a local agent to the next, doubled after each failure. What the agent holds counts as delivered
     * at once, so that the next poll and its answer have to fit into the 0.5 s that are allowed after a drain event.
     */
    private static final double MIN_AGENT_BACKOFF_S = 0.1;

    static final double MAX_AGENT_BACKOFF_S = 0.25;
    /** Bytes: a complete list of a large fleet is half of it. */
    private static final int MAX_LIST_BYTES = 1 << 20;

    private final EventLoop loop;
    private final DeploymentSettings site;
    private final SplittableRandom random = new SplittableRandom();
    private InetSocketAddress address;
    /** Carries the current poll. */
    private HttpClient client;
    /** Carries a poll that is overdue and still awaited; null where there is none. */
    private HttpClient overdueClient;

    /** Whether the connection of the current poll, a retry, failed once and has been tried again. */
    private boolean connectRetried;
    /** Fires when the current poll is overdue. */
    private Clock.Timer overdueTimer;
    /** The Host header of requests. */
    private String authority;

    private Gatherer core;
    /** The version of the list in hand. */
    private long version;
    /** Whether the next poll is the first, or the first after a failure. */
    private boolean firstPoll = true;
    /** Whether the address has changed and no list has come from the new one. */
    private boolean addressChanged;

    private double agentBackoffS = MIN_AGENT_BACKOFF_S;

    /** {@code knownVersion} is that of the list with which the gatherer starts. */
    public EndpointWatch(EventLoop loop, InetSocketAddress address, DeploymentSettings site, long knownVersion) {
        this.loop = loop;
        this.site = site;
        version = knownVersion;
        useNewClient(address, CONNECT_TIMEOUT_S);
    }

    private void useNewClient(InetSocketAddress to, double connectTimeoutS) {
        address = to;
        authority = to.getHostString() + ':' + to.getPort();
        // Three at most, not counted under the cap of sockets: discovery must be reachable when workers hang and hold
        // all sockets, as the list then says which of them are gone.
        client = new HttpClient(loop, to, EventLoop.SocketScope.OUTSIDE_CAP, connectTimeoutS, MAX_LIST_BYTES);
    }

    /**
     * Moves the watch to another address of discovery. The polls in flight end, and the new address is asked for the complete
     * list at once, as its versions need not be those of the old one; until it answers the list in hand stays in use.
     */
    public void changeAddress(InetSocketAddress to) {
        closeAll();
        useNewClient(to, CONNECT_TIMEOUT_S);
        addressChanged = true;
        poll(FIRST_POLL_MS);
    }

    /** Sets the gatherer that takes the lists. Where lists are pushed the watch begins now, else with {@link #watch}. */
    public void start(Gatherer gatherer) {
        core = gatherer;
        if (!site.scheduler().pollsEndpointList()) {
            loop.execute(this::watch);
        }
    }

    @Override
    public void watch() {
        if (!client.isBusy()) {
            poll(firstPoll ? FIRST_POLL_MS : LONG_POLL_MS);
        }
    }

    /** Seconds until a poll that discovery may hold so long is overdue. */
    static double pollTimeoutS(int waitMs) {
        return waitMs <= FIRST_POLL_MS ? FIRST_POLL_TIMEOUT_S : waitMs / 1e3 + LONG_POLL_MARGIN_S;
    }

    /** Sends a poll for changes, or for the complete list where no version of it is known. */
    private void poll(int waitMs) {
        String target =
                addressChanged ? DiscoveryProtocol.listTarget() : DiscoveryProtocol.watchTarget(version, waitMs);
        double timeoutS = addressChanged ? ADDRESS_CHANGE_TIMEOUT_S : pollTimeoutS(waitMs);
        HttpClient sender = client;
        overdueTimer = loop.after(timeoutS, this::retryOverdue);
        byte[] request = HttpWriter.request("GET", target, authority, "", new byte[0]);
        sender.send(request, timeoutS + OVERDUE_TIMEOUT_S, new HttpClient.ResponseListener() {
            @Override
            public void onResponse(HttpMessage response) {
                if (sender == client || sender == overdueClient) {
                    onPollAnswered(sender, response);
                }
            }

            @Override
            public void onFailure(HttpClient.Failure failure) {
                onRequestFailed(sender, failure);
            }
        });
    }

    private void onRequestFailed(HttpClient sender, HttpClient.Failure failure) {
        if (sender == overdueClient) {
            overdueClient = null;
        } else if (sender == client
                && failure == HttpClient.Failure.NOT_SENT
                && overdueClient != null
                && !connectRetried) {
            // The path to discovery may be lost: one more connection is tried while the overdue poll is awaited.
            connectRetried = true;
            pollOnNewConnection();
        } else if (sender == client) {
            onFailure(failure.toString());
        }
    }

    /** The current poll is overdue: it stays open beside its retry on a new connection. */
    private void retryOverdue() {
        LOG.log(System.Logger.Level.WARNING, "endpoint list watch timed out, retried on a new connection");
        if (overdueClient != null) {
            overdueClient.close();
        }
        overdueClient = client;
        connectRetried = false;
        pollOnNewConnection();
    }

    private void pollOnNewConnection() {
        overdueTimer.cancel();
        useNewClient(address, RETRY_CONNECT_TIMEOUT_S);
        poll(FIRST_POLL_MS);
    }

    private void closeAll() {
        if (overdueTimer != null) {
            overdueTimer.cancel();
        }
        client.close();
        if (overdueClient != null) {
            overdueClient.close();
            overdueClient = null;
        }
    }

    private void onPollAnswered(HttpClient sender, HttpMessage response) {
        try {
            EndpointListJson list = DiscoveryProtocol.parseList(response, site);
            keepOnly(sender);
            onList(list);
        } catch (ConfigException e) {
            if (sender == overdueClient) {
                overdueClient.close();
                overdueClient = null;
            } else {
                onFailure(e.getMessage());
            }
        }
    }

    /** The first answer is used; the other poll ends, as what it brings would be older. */
    private void keepOnly(HttpClient sender) {
        overdueTimer.cancel();
        HttpClient other = sender == client ? overdueClient : client;
        if (other != null) {
            other.close();
        }
        client = sender;
        overdueClient = null;
    }

    private void onList(EndpointListJson list) {
        version = list.seq();
        firstPoll = false;
        addressChanged = false;
        agentBackoffS = MIN_AGENT_BACKOFF_S;
        // Before the list is applied: a poll that comes late would begin a new watch.
        poll(LONG_POLL_MS);
        EndpointListKind kind = list.whole() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES;
        core.onEndpointList(kind, list.hosts());
    }

    private void onFailure(String reason) {
        LOG.log(System.Logger.Level.WARNING, "endpoint list watch failed: {0}", reason);
        firstPoll = true;
        closeAll();
        useNewClient(address, CONNECT_TIMEOUT_S);
        if (site.scheduler().pollsEndpointList()) {
            core.onEndpointList(EndpointListKind.FAILED, List.of());
        } else {
            double jitter = 0.5 + random.nextDouble();
            loop.after(agentBackoffS * jitter, this::watch);
            agentBackoffS = Math.min(MAX_AGENT_BACKOFF_S, 2 * agentBackoffS);
        }
    }
}
