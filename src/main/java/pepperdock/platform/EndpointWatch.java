package pepperdock.platform;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import pepperdock.codec.http.HttpMessage;
import pepperdock.codec.http.HttpWriter;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.EndpointListJson;
import pepperdock.core.Clock;
import pepperdock.core.EndpointDiscovery;
import pepperdock.core.EndpointListSharing;
import pepperdock.core.EndpointListSnapshot;
import pepperdock.core.Gatherer;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpClient;

/**
 * Watches the platform's endpoint list with long polls: each poll is sent as soon as the previous one is answered.
 *
 * <p>An overdue poll is retried at once on a new connection, and the first of the two answers is used: events count as
 * delivered after a fixed time, whether they arrived or not. After a failed poll, the core decides when to poll again,
 * because all gatherers share one discovery service. If the settings say that lists are pushed, a local agent holds the
 * list, and the watch retries by itself with backoff.
 *
 * <p>Constructed with the event loop that owns it, and started with the gatherer that receives the lists. Everything
 * else runs on the loop's thread.
 */
public final class EndpointWatch implements EndpointDiscovery, EndpointListSharing {

    private static final System.Logger LOG = System.getLogger("pepperdock.platform");
    /**
     * Milliseconds for which discovery may hold the first poll, and the first one after a failure. Close to zero, so
     * that the loss of such a poll is noticed early. Such a poll returns the changes since the current version.
     */
    static final int FIRST_POLL_WAIT_MS = 1;
    /**
     * Milliseconds for which discovery may hold a long poll; events in that time count as delivered 2 s after its end.
     */
    static final int LONG_POLL_WAIT_MS = 8000;
    /**
     * Seconds until a poll that is not held is overdue. Discovery serves polls in order and ends those that have waited
     * for some seconds. When overloaded, it answers just before that limit, so this timeout must be longer.
     */
    private static final double FIRST_POLL_TIMEOUT_S = 3;
    /**
     * Seconds until a poll after an address change is overdue. Events then count as delivered after 4 s, which
     * leaves time for two polls.
     */
    static final double ADDRESS_CHANGE_TIMEOUT_S = 2.3;
    /**
     * Seconds after the end of its wait until a long poll is overdue. Events that it misses count as delivered 2 s
     * after the wait, or 6 s after discovery became unreachable, whichever is later. Waits between 4 s and
     * {@link #LONG_POLL_WAIT_MS} would gain nothing, and would cost discovery more polls.
     */
    private static final double LONG_POLL_MARGIN_S = 0.5;
    /**
     * Seconds for which an overdue poll is kept open alongside its retry: no longer than discovery itself would hold
     * it.
     */
    private static final double OVERDUE_TIMEOUT_S = 3;
    /** Seconds until an attempt to connect times out. */
    private static final double CONNECT_TIMEOUT_S = 1;
    /**
     * Seconds until an attempt to connect times out for the retry of an overdue poll: if the network path is lost,
     * there must be time for one more connection.
     */
    private static final double RETRY_CONNECT_TIMEOUT_S = 0.5;
    /**
     * Seconds from a failed poll to the next one, doubled after each failure, if the watch retries by itself. Events
     * that a local agent holds count as delivered at once, so the next poll and its answer must fit into the 0.5 s
     * allowed after a drain event.
     */
    private static final double MIN_BACKOFF_S = 0.1;

    static final double MAX_BACKOFF_S = 0.25;
    /**
     * Seconds until a poll of a process that replaces another is overdue. Half of what discovery lets a poll wait, so
     * that a second poll fits into the 2 s after which news counts as delivered, while the first keeps its turn.
     */
    private static final double REPLACEMENT_POLL_TIMEOUT_S = 1.2;
    /** Twice the size of the complete list of a large fleet. */
    private static final int MAX_LIST_BYTES = 1 << 20;

    private static final long UNKNOWN_VERSION = -1;

    private final EventLoop loop;
    private final DeploymentSettings settings;
    private final SplittableRandom random = new SplittableRandom();
    private InetSocketAddress address;
    /** Carries the current poll. */
    private HttpClient client;
    /** Carries an overdue poll whose answer is still awaited; null if there is none. */
    private HttpClient overdueClient;

    /** Whether the current poll is a retry whose connection failed once and has been tried again. */
    private boolean connectRetried;
    /** Fires when the current poll is overdue. */
    private Clock.Timer overdueTimer;
    /** The Host header of requests. */
    private String authority;

    private Gatherer core;
    /** The version of the current list. */
    private long version;
    /** Whether the next poll is the first, or the first after a failure. */
    private boolean firstPoll = true;
    /** Whether the address has changed and no list has arrived from the new one yet. */
    private boolean addressChanged;

    /** Backoff of polls that the watch retries by itself. */
    private double backoffS = MIN_BACKOFF_S;
    /** Until when a process that replaces another retries failed polls by itself; 0 once it has a list. */
    private double promptRetriesUntilS;
    /** When the current poll was sent, by the loop's clock. */
    private double pollSentAtS;
    /** Polls that have failed since the last answer. */
    private int consecutiveFailures;

    /** Creates a watch; {@code knownVersion} is the version of the list with which the gatherer starts. */
    public EndpointWatch(EventLoop loop, InetSocketAddress address, DeploymentSettings settings, long knownVersion) {
        this.loop = loop;
        this.settings = settings;
        version = knownVersion;
        useNewClient(address, CONNECT_TIMEOUT_S);
    }

    private void useNewClient(InetSocketAddress newAddress, double connectTimeoutS) {
        address = newAddress;
        authority = newAddress.getHostString() + ':' + newAddress.getPort();
        // At most three sockets, exempt from the socket cap: discovery must be reachable when workers hang and hold all
        // sockets, because the list then says which of them are gone.
        client = new HttpClient(loop, newAddress, EventLoop.SocketScope.OUTSIDE_CAP, connectTimeoutS, MAX_LIST_BYTES);
    }

    /**
     * Moves the watch to another address of discovery. The polls in flight are closed. The complete list is requested
     * from the new address at once, because its versions may differ from those of the old address; the current list
     * stays in use until the answer arrives.
     */
    public void changeAddress(InetSocketAddress newAddress) {
        closeAll();
        useNewClient(newAddress, CONNECT_TIMEOUT_S);
        addressChanged = true;
        poll(FIRST_POLL_WAIT_MS);
    }

    /**
     * Sets the gatherer that receives the lists. If lists are pushed the watch begins now, otherwise with
     * {@link #watch}.
     */
    public void start(Gatherer gatherer) {
        core = gatherer;
        core.metrics().setEndpointListVersion(version);
        if (!settings.scheduler().pollsEndpointList()) {
            loop.execute(this::watch);
        }
    }

    /**
     * {@inheritDoc}
     *
     * <p>For a process that replaces another: what discovery tells counts as delivered 2 s after the replacement, and
     * the scheduler's backoff may be longer than that.
     */
    @Override
    public void retryPromptly(double seconds) {
        promptRetriesUntilS = loop.now() + seconds;
        if (client.isBusy()) {
            overdueTimer.cancel();
            overdueTimer = loop.after(REPLACEMENT_POLL_TIMEOUT_S, this::retryOverdue);
        } else {
            watch();
        }
    }

    @Override
    public EndpointListSnapshot snapshot(Collection<WorkerEndpoint> endpoints) {
        return new EndpointListSnapshot(Config.formatAddress(address), version, List.copyOf(endpoints));
    }

    /**
     * {@inheritDoc}
     *
     * <p>Versions of different addresses are not comparable. A list from another address is used only if the other
     * process is alive: it received the list just now, or is being replaced by this one.
     */
    @Override
    public void adopt(EndpointListSnapshot list, boolean otherProcessAlive) {
        boolean sameAddress = list.source().equals(Config.formatAddress(address));
        boolean usable = sameAddress ? addressChanged || list.version() > version : otherProcessAlive;
        if (!usable) {
            return;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "endpoint list version {0} from {1}, {2} entries, received by another process, replaces version {3}",
                Long.toString(list.version()),
                list.source(),
                list.endpoints().size(),
                Long.toString(version));
        if (sameAddress) {
            version = list.version();
            addressChanged = false;
            core.metrics().setEndpointListVersion(version);
        } else if (firstPoll) {
            // Changes since the configured version may be based on another list than the adopted one.
            addressChanged = true;
        }
        core.onEndpointList(EndpointListKind.CACHED, list.endpoints());
    }

    @Override
    public void watch() {
        if (!client.isBusy()) {
            poll(firstPoll ? FIRST_POLL_WAIT_MS : LONG_POLL_WAIT_MS);
        }
    }

    /** Returns the seconds until a poll that discovery may hold for {@code waitMs} is overdue. */
    static double pollTimeoutS(int waitMs) {
        return waitMs <= FIRST_POLL_WAIT_MS ? FIRST_POLL_TIMEOUT_S : waitMs / 1e3 + LONG_POLL_MARGIN_S;
    }

    /** Sends a poll for changes, or for the complete list if no version of it is known at this address. */
    private void poll(int waitMs) {
        String target =
                addressChanged ? DiscoveryProtocol.listTarget() : DiscoveryProtocol.watchTarget(version, waitMs);
        double timeoutS = pollTimeoutS(waitMs);
        if (retriesPromptly()) {
            timeoutS = REPLACEMENT_POLL_TIMEOUT_S;
        } else if (addressChanged) {
            timeoutS = ADDRESS_CHANGE_TIMEOUT_S;
        }
        // No version of the list at a new address is known.
        long requestedVersion = addressChanged ? UNKNOWN_VERSION : version;
        HttpClient sender = client;
        pollSentAtS = loop.now();
        overdueTimer = loop.after(timeoutS, this::retryOverdue);
        byte[] request = HttpWriter.request("GET", target, authority, "", new byte[0]);
        sender.send(request, timeoutS + OVERDUE_TIMEOUT_S, new HttpClient.ResponseListener() {
            @Override
            public void onResponse(HttpMessage response) {
                if (sender == client || sender == overdueClient) {
                    onPollAnswered(sender, response, requestedVersion);
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
            // The network path to discovery may be lost: try one more connection while the overdue poll is awaited.
            connectRetried = true;
            pollOnNewConnection();
        } else if (sender == client) {
            onFailure(failure.toString());
        }
    }

    /** Retries the overdue poll on a new connection; the overdue poll stays open alongside. */
    private void retryOverdue() {
        LOG.log(
                System.Logger.Level.WARNING,
                "endpoint list poll is overdue, retrying on a new connection: after {0} s, version {1} stays in use",
                secondsSincePoll(),
                Long.toString(version));
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
        poll(FIRST_POLL_WAIT_MS);
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

    private void onPollAnswered(HttpClient sender, HttpMessage response, long requestedVersion) {
        try {
            EndpointListJson list = DiscoveryProtocol.parseList(response, settings);
            keepOnly(sender);
            onList(list, requestedVersion);
        } catch (ConfigException e) {
            if (sender == overdueClient) {
                overdueClient.close();
                overdueClient = null;
            } else {
                onFailure(e.getMessage());
            }
        }
    }

    /** Keeps the connection that answered first and closes the other one, whose answer would be older. */
    private void keepOnly(HttpClient sender) {
        overdueTimer.cancel();
        HttpClient other = sender == client ? overdueClient : client;
        if (other != null) {
            other.close();
        }
        client = sender;
        overdueClient = null;
    }

    private void onList(EndpointListJson list, long requestedVersion) {
        logList(list);
        consecutiveFailures = 0;
        backoffS = MIN_BACKOFF_S;
        promptRetriesUntilS = 0;
        if (!addressChanged && requestedVersion < version && list.seq() < version) {
            // A newer list was adopted from another process while this answer was on its way.
            poll(FIRST_POLL_WAIT_MS);
            return;
        }
        version = list.seq();
        core.metrics().setEndpointListVersion(version);
        firstPoll = false;
        addressChanged = false;
        // Poll before the list is applied: a poll that arrives late would begin a new watch.
        poll(LONG_POLL_WAIT_MS);
        EndpointListKind kind = list.whole() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES;
        core.onEndpointList(kind, list.hosts());
    }

    private void onFailure(String reason) {
        consecutiveFailures++;
        core.metrics().recordEndpointListFailure();
        LOG.log(
                System.Logger.Level.WARNING,
                "endpoint list watch failed: {0} after {1} s, {2} failures in a row, version {3} stays in use",
                reason,
                secondsSincePoll(),
                consecutiveFailures,
                Long.toString(version));
        firstPoll = true;
        closeAll();
        useNewClient(address, CONNECT_TIMEOUT_S);
        if (settings.scheduler().pollsEndpointList() && !retriesPromptly()) {
            core.onEndpointList(EndpointListKind.FAILED, List.of());
        } else {
            double jitter = 0.5 + random.nextDouble();
            loop.after(backoffS * jitter, this::watch);
            backoffS = Math.min(MAX_BACKOFF_S, 2 * backoffS);
        }
    }

    private boolean retriesPromptly() {
        return loop.now() < promptRetriesUntilS;
    }

    /** Logs a list that brings a new version or ends a series of failures; a poll without news is not logged. */
    private void logList(EndpointListJson list) {
        if (list.seq() == version && !firstPoll && list.hosts().isEmpty()) {
            return;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "endpoint list version {0} from {1}, {2} entries{3}, answered after {4} s, replaces version {5}",
                Long.toString(list.seq()),
                authority,
                list.hosts().size(),
                list.whole() ? " (complete)" : "",
                secondsSincePoll(),
                Long.toString(version));
    }

    private String secondsSincePoll() {
        return String.format(Locale.ROOT, "%.3f", loop.now() - pollSentAtS);
    }
}
