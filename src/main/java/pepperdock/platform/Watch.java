package pepperdock.platform;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import pepperdock.codec.http.HttpMessage;
import pepperdock.codec.http.HttpWriter;
import pepperdock.config.ConfigException;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.HostList;
import pepperdock.core.Clock;
import pepperdock.core.EndpointDiscovery;
import pepperdock.core.Gatherer;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.transport.HttpClient;
import pepperdock.transport.Loop;

/**
 * Watches the platform's node list: one call after another, each armed as soon as the last is answered. A call that falls
 * silent is opened anew at once, as its news count as told soon whether they came or not; when to ask after a call that
 * failed is the module's to say, as the list is one service for all. Where the settings say that lists come unasked, an
 * agent has them, and the watch keeps itself open.
 */
public final class Watch implements EndpointDiscovery {

    private static final System.Logger LOG = System.getLogger("pepperdock.platform");
    /**
     * The first call, and the first after a failure, bring what changed since the list we hold and do not wait for news: one
     * that is lost is known as such so much earlier.
     */
    static final int FIRST_WAIT_MS = 1;
    /** How long a call may wait for news; what it has not told by two seconds later counts as told. */
    static final int WAIT_MS = 8000;
    /**
     * A call that need not wait is overdue after so long. The list works through calls in turn and ends by itself those that
     * waited too long, some seconds: overbooked, it answers just before that limit.
     */
    private static final double SILENT_S = 3;
    /** The same where the news count as told four seconds after the address has changed: there is time for two calls. */
    static final double MOVED_S = 2.3;
    /**
     * So long after its wait a call that waits for news is overdue: what it misses counts as told two seconds after the wait,
     * or six after it fell silent, if that is later. A shorter wait would gain nothing down to four seconds, and would
     * cost more calls of the one list.
     */
    private static final double OVERDUE_S = 0.5;
    /** An overdue call is waited for beside the one in its place; not for longer than the list itself would let it wait. */
    private static final double BESIDE_S = 3;

    private static final double DIAL_S = 1;
    /** Of a call in place of a silent one: a way that is lost must leave time for one more. */
    private static final double DIAL_ANEW_S = 0.5;
    /**
     * Where lists come unasked: from one try at the agent to the next, doubled up to the most. What the agent has counts at
     * once, so that the next try and its answer have to fit into the half second that is allowed after word of a drain.
     */
    private static final double AGENT_LEAST_S = 0.1;

    static final double AGENT_MOST_S = 0.25;
    private static final int LIST_MOST = 1 << 20;
    private static final String WHOLE = "/api/targets";

    private final Loop loop;
    private final DeploymentSettings site;
    private final SplittableRandom random = new SplittableRandom();
    private InetSocketAddress at;
    private HttpClient http;
    /** A call that is overdue, and still waited for; null where there is none. */
    private HttpClient overdue;

    private boolean retried;
    private Clock.Timer limit;
    private String authority;
    private Gatherer core;
    private long seq;
    private boolean first = true;
    /** No list has come from the address that this was moved to. */
    private boolean moved;

    private double agentPause = AGENT_LEAST_S;

    public Watch(Loop loop, InetSocketAddress at, DeploymentSettings site, long knownSeq) {
        this.loop = loop;
        this.site = site;
        seq = knownSeq;
        dialAt(at, DIAL_S);
    }

    private void dialAt(InetSocketAddress to, double dialS) {
        at = to;
        authority = to.getHostString() + ':' + to.getPort();
        // Three at most, beside the cap: it may be reached just when workers hang and the list says which of them are
        // gone.
        http = new HttpClient(loop, to, Loop.Kind.APART, dialS, LIST_MOST);
    }

    /**
     * The list is told elsewhere from now on: the old watch ends and the new address is asked at once. It is asked for
     * the whole list, as its versions need not be those of the old one; until it answers the list in hand stands.
     */
    public void move(InetSocketAddress to) {
        closeAll();
        dialAt(to, DIAL_S);
        moved = true;
        call(FIRST_WAIT_MS);
    }

    public void start(Gatherer core) {
        this.core = core;
        if (!site.module().pollsEndpointList()) {
            loop.execute(this::watch);
        }
    }

    @Override
    public void watch() {
        if (!http.busy()) {
            call(first ? FIRST_WAIT_MS : WAIT_MS);
        }
    }

    /** How long a call that may wait so long is waited for alone. */
    static double patienceS(int waitMs) {
        return waitMs <= FIRST_WAIT_MS ? SILENT_S : waitMs / 1e3 + OVERDUE_S;
    }

    /** Asks what is new, or for the whole list where no version of it is known. */
    private void call(int waitMs) {
        String target = moved ? WHOLE : WHOLE + "?since=" + seq + "&timeout_ms=" + waitMs;
        HttpClient by = http;
        double patience = moved ? MOVED_S : patienceS(waitMs);
        limit = loop.after(patience, this::openAnew);
        by.ask(
                HttpWriter.request("GET", target, authority, "", new byte[0]),
                patience + BESIDE_S,
                new HttpClient.Then() {
                    @Override
                    public void response(HttpMessage m) {
                        if (by == http || by == overdue) {
                            answered(by, m);
                        }
                    }

                    @Override
                    public void failed(HttpClient.Failure why) {
                        if (by == overdue) {
                            overdue = null;
                        } else if (by == http && why == HttpClient.Failure.UNSENT && overdue != null && !retried) {
                            // The way to the list may be what is lost: one more connection is tried while the first is
                            // waited for.
                            retried = true;
                            callAnew();
                        } else if (by == http) {
                            Watch.this.failed(why.toString());
                        }
                    }
                });
    }

    /** The call in hand is overdue: silent, or late. It is waited for on, beside one on a new connection. */
    private void openAnew() {
        LOG.log(System.Logger.Level.WARNING, "node list watch silent, opened anew");
        if (overdue != null) {
            overdue.close();
        }
        overdue = http;
        retried = false;
        callAnew();
    }

    private void callAnew() {
        limit.cancel();
        dialAt(at, DIAL_ANEW_S);
        call(FIRST_WAIT_MS);
    }

    private void closeAll() {
        if (limit != null) {
            limit.cancel();
        }
        http.close();
        if (overdue != null) {
            overdue.close();
            overdue = null;
        }
    }

    private void answered(HttpClient by, HttpMessage m) {
        try {
            if (m.status() != 200) {
                throw new ConfigException("answer", "status " + m.status());
            }
            HostList list = HostList.parse(new String(m.body(), StandardCharsets.UTF_8), site);
            limit.cancel();
            HttpClient other = by == http ? overdue : http;
            if (other != null) {
                other.close();
            }
            http = by;
            overdue = null;
            seq = list.seq();
            first = false;
            moved = false;
            agentPause = AGENT_LEAST_S;
            call(WAIT_MS);
            core.onEndpointList(list.whole() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES, list.hosts());
        } catch (ConfigException e) {
            if (by == overdue) {
                overdue.close();
                overdue = null;
            } else {
                failed(e.getMessage());
            }
        }
    }

    /** Where the list has to be asked for the module decides when to ask again; until then there is no watch. */
    private void failed(String why) {
        LOG.log(System.Logger.Level.WARNING, "node list watch failed: {0}", why);
        first = true;
        closeAll();
        dialAt(at, DIAL_S);
        if (site.module().pollsEndpointList()) {
            core.onEndpointList(EndpointListKind.FAILED, List.of());
        } else {
            loop.after(agentPause * (0.5 + random.nextDouble()), this::watch);
            agentPause = Math.min(AGENT_MOST_S, 2 * agentPause);
        }
    }
}
