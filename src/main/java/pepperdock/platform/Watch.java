package pepperdock.platform;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import pepperdock.aggregator.Aggregator.ListKind;
import pepperdock.config.ConfigException;
import pepperdock.config.HostList;
import pepperdock.config.Site;
import pepperdock.core.Discovery;
import pepperdock.core.Gatherer;
import pepperdock.http.HttpMessage;
import pepperdock.http.HttpWriter;
import pepperdock.net.HttpClient;
import pepperdock.net.Loop;

/** Watches the platform's node list: one call after another, each armed as soon as the last is answered. */
public final class Watch implements Discovery {

    private static final System.Logger LOG = System.getLogger("pepperdock.platform");
    /** The first call brings what changed since the list we hold, so that the start does not wait. */
    static final int FIRST_WAIT_MS = 1;
    /** How long a call may wait for news; what it has not told by two seconds later counts as told. */
    static final int WAIT_MS = 8000;
    /**
     * A call is given up here only where nothing comes at all. The list works through calls in turn and ends by itself those
     * that waited too long, some seconds: overbooked, it answers just before that limit. Given up a little sooner than
     * there, each call is one that would have been answered next, and asked again it is last in turn.
     */
    private static final double SILENT_S = 4;
    /**
     * So long after its wait a call that waits for news is overdue. Silent, it has to be opened anew, and answered, before two
     * seconds are over; the module asks again only after a while of its own.
     */
    private static final double OVERDUE_S = 1;
    private static final double DIAL_S = 1;
    private static final int LIST_MOST = 1 << 20;
    private static final String WHOLE = "/api/targets";

    private final Loop loop;
    private final Site site;
    private HttpClient http;
    private String authority;
    private Gatherer core;
    private long seq;
    private boolean first = true;

    public Watch(Loop loop, InetSocketAddress at, Site site, long knownSeq) {
        this.loop = loop;
        this.site = site;
        seq = knownSeq;
        dialAt(at);
    }

    private void dialAt(InetSocketAddress at) {
        authority = at.getHostString() + ':' + at.getPort();
        http = new HttpClient(loop, at, DIAL_S, LIST_MOST);
    }

    /**
     * The list is told elsewhere from now on: the old watch ends and the new address is asked at once. It is asked for
     * the whole list, as its versions need not be those of the old one; until it answers the list in hand stands.
     */
    public void move(InetSocketAddress at) {
        http.close();
        dialAt(at);
        call(WHOLE, FIRST_WAIT_MS);
    }

    public void start(Gatherer core) {
        this.core = core;
    }

    @Override
    public void subscribe() {
        if (!http.busy()) {
            call(changes(first ? FIRST_WAIT_MS : WAIT_MS), first ? FIRST_WAIT_MS : WAIT_MS);
        }
    }

    private String changes(int waitMs) {
        return WHOLE + "?since=" + seq + "&timeout_ms=" + waitMs;
    }

    /** After which a call that may wait so long is given up. */
    static double patienceS(int waitMs) {
        return Math.max(SILENT_S, waitMs / 1e3 + OVERDUE_S);
    }

    private void call(String target, int waitMs) {
        byte[] request = HttpWriter.request("GET", target, authority, "", new byte[0]);
        http.ask(request, patienceS(waitMs), new HttpClient.Then() {
            @Override
            public void response(HttpMessage m) {
                answered(m);
            }

            @Override
            public void failed(HttpClient.Failure why) {
                Watch.this.failed(why.toString());
            }
        });
    }

    private void answered(HttpMessage m) {
        if (m.status() != 200) {
            failed("status " + m.status());
            return;
        }
        try {
            HostList list = HostList.parse(new String(m.body(), StandardCharsets.UTF_8), site);
            seq = list.seq();
            first = false;
            call(changes(WAIT_MS), WAIT_MS);
            core.listed(list.whole() ? ListKind.COMPLETE : ListKind.CHANGES, list.hosts());
        } catch (ConfigException e) {
            failed(e.getMessage());
        }
    }

    /** The module decides when to ask again; until then there is no watch. */
    private void failed(String why) {
        LOG.log(System.Logger.Level.WARNING, "node list watch failed: {0}", why);
        core.listed(ListKind.FAILED, List.of());
    }
}
