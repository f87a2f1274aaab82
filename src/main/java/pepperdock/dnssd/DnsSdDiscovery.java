package pepperdock.dnssd;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.RRset;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Resolver;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.SimpleResolver;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;
import pepperdock.config.ConfigException;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.DnsSdConfig;
import pepperdock.core.Clock;
import pepperdock.core.EndpointDiscovery;
import pepperdock.core.Gatherer;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.scheduler.EndpointState;

/**
 * The node list from DNS-SD records (RFC 6763): instances are browsed by PTR and resolved by SRV, TXT and address, over
 * unicast DNS. Records are kept for their TTL and asked for again when it is over, and no sooner than the configured
 * least pace. All state is owned by the clock's thread; the library's own threads only carry datagrams.
 */
public final class DnsSdDiscovery implements EndpointDiscovery {

    private static final System.Logger LOG = System.getLogger("pepperdock.dnssd");

    private record RecordKey(Name name, int type) {}

    private record CachedRecords(List<Record> records, double expiresAt) {}

    private final DnsSdConfig config;
    private final DeploymentSettings site;
    private final Clock clock;
    private final Executor ioThread;
    private final Resolver resolver;
    private final Name service;
    private final Map<RecordKey, CachedRecords> cache = new HashMap<>();
    private Gatherer core;
    private boolean running;
    /** Browses with the given configuration; callbacks run on {@code ioThread}, and nothing is sent before {@link #watch}. */
    public DnsSdDiscovery(DnsSdConfig config, DeploymentSettings site, Clock clock, Executor ioThread) {
        this.config = config;
        this.site = site;
        this.clock = clock;
        this.ioThread = ioThread;
        SimpleResolver simple = new SimpleResolver(config.server());
        simple.setTimeout(Duration.ofMillis((long) (config.timeoutS() * 1e3)));
        resolver = simple;
        try {
            service = Name.concatenate(Name.fromString(config.service()), Name.fromString(config.domain(), Name.root));
        } catch (TextParseException | org.xbill.DNS.NameTooLongException e) {
            throw new ConfigException("dnssd.service", e.getMessage());
        }
    }
    /** Sets the core that receives the endpoint lists; called once, before {@link #watch}. */
    public void start(Gatherer core) {
        this.core = core;
    }

    @Override
    public void watch() {
        if (!running) {
            running = true;
            browse();
        }
    }

    /** Browses and resolves whatever is not kept any more, tells the whole list, and sets the next round. */
    private void browse() {
        CompletableFuture<?> unused = lookup(service, Type.PTR)
                .thenCompose(instances -> {
                    List<CompletableFuture<WorkerEndpoint>> hosts = new ArrayList<>();
                    for (Record record : instances) {
                        if (record instanceof PTRRecord ptr) {
                            hosts.add(resolve(ptr.getTarget()));
                        }
                    }
                    return CompletableFuture.allOf(hosts.toArray(new CompletableFuture<?>[0]))
                            .thenApply(done -> hosts.stream()
                                    .map(CompletableFuture::join)
                                    .filter(Objects::nonNull)
                                    .sorted(Comparator.comparing(WorkerEndpoint::id))
                                    .toList());
                })
                .whenCompleteAsync(this::onBrowsed, ioThread);
    }

    private void onBrowsed(List<WorkerEndpoint> hosts, Throwable failure) {
        if (failure != null) {
            // The list last told stays; the module decides when to ask again.
            running = false;
            LOG.log(System.Logger.Level.WARNING, "browsing {0} failed: {1}", service, failure.getMessage());
            core.onEndpointList(EndpointListKind.FAILED, List.of());
            return;
        }
        core.onEndpointList(EndpointListKind.COMPLETE, hosts);
        double next = cache.values().stream()
                        .mapToDouble(CachedRecords::expiresAt)
                        .min()
                        .orElse(clock.now())
                - clock.now();
        clock.after(Math.max(config.leastS(), next), this::browse);
    }

    /** One instance: null where its records are gone, or do not say enough to send it anything. */
    private CompletableFuture<WorkerEndpoint> resolve(Name instance) {
        return lookup(instance, Type.SRV).thenCompose(srvs -> {
            SRVRecord srv = srvs.stream()
                    .filter(SRVRecord.class::isInstance)
                    .map(SRVRecord.class::cast)
                    .min(Comparator.comparingInt(SRVRecord::getPriority))
                    .orElse(null);
            if (srv == null || srv.getTarget().equals(Name.root)) {
                return CompletableFuture.completedFuture(null);
            }
            return lookup(instance, Type.TXT)
                    .thenCompose(txt ->
                            address(srv.getTarget()).thenApply(address -> endpoint(instance, srv, txt, address)));
        });
    }

    private CompletableFuture<InetAddress> address(Name target) {
        return lookup(target, Type.A)
                .thenCompose(a -> a.isEmpty()
                        ? lookup(target, Type.AAAA)
                                .thenApply(b -> b.isEmpty() ? null : ((AAAARecord) b.get(0)).getAddress())
                        : CompletableFuture.completedFuture(((ARecord) a.get(0)).getAddress()));
    }

    private WorkerEndpoint endpoint(Name instance, SRVRecord srv, List<Record> txt, InetAddress address) {
        Map<String, String> attributes = new LinkedHashMap<>();
        if (!txt.isEmpty()) {
            for (byte[] raw : ((TXTRecord) txt.get(0)).getStringsAsByteArrays()) {
                String pair = new String(raw, StandardCharsets.UTF_8);
                int separator = pair.indexOf('=');
                if (separator > 0) {
                    // The first of a key counts, and keys know no case (RFC 6763, 6.4).
                    attributes.putIfAbsent(
                            pair.substring(0, separator).toLowerCase(Locale.ROOT), pair.substring(separator + 1));
                }
            }
        }
        try {
            if (address == null) {
                throw new IllegalArgumentException("no address");
            }
            byte[] label = instance.getLabel(0);
            String id = attributes.getOrDefault("host", new String(label, 1, label.length - 1, StandardCharsets.UTF_8));
            InetSocketAddress at = new InetSocketAddress(address, srv.getPort());
            String hostAndPort = at.getAddress().getHostAddress() + ':' + at.getPort();
            if (!attributes.containsKey("block")) {
                throw new IllegalArgumentException("TXT has no block");
            }
            return new WorkerEndpoint(
                    id,
                    hostAndPort,
                    Math.max(0, site.zones().indexOf(attributes.get("site"))),
                    Math.max(0, site.kinds().indexOf(attributes.get("class"))),
                    Integer.parseInt(attributes.get("block")),
                    switch (attributes.getOrDefault("health", "in_service")) {
                        case "in_service" -> EndpointState.HEALTHY;
                        case "terminating" -> EndpointState.DRAINING;
                        default -> throw new IllegalArgumentException("health unknown");
                    },
                    Double.parseDouble(attributes.getOrDefault("share", "1")),
                    Double.parseDouble(attributes.getOrDefault("born_ms", "0")) / 1e3);
        } catch (IllegalArgumentException e) {
            LOG.log(System.Logger.Level.WARNING, "instance {0} left out: {1}", instance, e.getMessage());
            return null;
        }
    }

    /** The records of a name, from those kept or from the server; empty where it says that there are none. */
    private CompletableFuture<List<Record>> lookup(Name name, int type) {
        RecordKey key = new RecordKey(name, type);
        CachedRecords cached = cache.get(key);
        if (cached != null && clock.now() < cached.expiresAt()) {
            return CompletableFuture.completedFuture(cached.records());
        }
        return resolver.sendAsync(Message.newQuery(Record.newRecord(name, type, DClass.IN)))
                .thenApplyAsync(answer -> cacheAnswer(key, answer), ioThread)
                .toCompletableFuture();
    }

    private List<Record> cacheAnswer(RecordKey key, Message answer) {
        int code = answer.getRcode();
        if (code != Rcode.NOERROR && code != Rcode.NXDOMAIN) {
            throw new IllegalStateException(key.name() + ": " + Rcode.string(code));
        }
        cache.remove(key);
        cache.values().removeIf(cached -> cached.expiresAt() <= clock.now());
        // What comes along in the additional section saves asking for it (RFC 6763, 12).
        for (int section : new int[] {Section.ADDITIONAL, Section.ANSWER}) {
            for (RRset set : answer.getSectionRRsets(section)) {
                if (set.getType() != Type.OPT) {
                    cache.put(
                            new RecordKey(set.getName(), set.getType()),
                            new CachedRecords(List.copyOf(set.rrs()), clock.now() + set.getTTL()));
                }
            }
        }
        CachedRecords found = cache.get(key);
        return found == null ? List.of() : found.records();
    }
}
