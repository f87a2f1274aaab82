package pepperdock.service;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pepperdock.config.Config;
import pepperdock.config.ConfigReader;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.EndpointListJson;
import pepperdock.core.Gatherer;
import pepperdock.core.PooledBackend;
import pepperdock.core.WorkerEndpoint;
import pepperdock.opensearch.SearchBackend;
import pepperdock.operator.OperatorService;
import pepperdock.operator.UpgradePeer;
import pepperdock.plan.background.PlannerThread;
import pepperdock.platform.FrameBackend;
import pepperdock.platform.JvmWarmup;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.store.Store;
import pepperdock.transport.EventLoop;
import pepperdock.transport.HttpServer;

/**
 * One gatherer in service: opens each part that the configuration names, connects it to the others, and begins to serve once
 * the endpoint list is here or a timeout has passed. State belongs to the loop's thread.
 */
public final class GathererService {

    private static final System.Logger LOG = System.getLogger("pepperdock");
    /** Beside another process of the same gatherer, ready once the first endpoint list has come, or after so long. */
    private static final double LIST_TIMEOUT_S = 3;
    /**
     * Where lists are pushed, what the agent has counts as known from a new process's first moment: ready once its list is
     * here, or after so long. An agent that is silent has nothing to send.
     */
    static final double PUSHED_LIST_TIMEOUT_S = 1.5;

    private final Startup.ProcessContext context;
    private final EventLoop loop;
    private final Config config;
    private final JvmWarmup warmup;
    private final EndpointSource nodes;
    private final Gatherer core;
    /** Null where the file has no address for operators. */
    private final OperatorService operator;

    private final ClientServers clients;
    private final InitialEndpointList firstList;
    private DeploymentSettings site;
    private boolean ready;

    private GathererService(ConfigReader file, Startup.ProcessContext context) throws IOException {
        this.context = context;
        loop = context.loop();
        config = Config.read(file, context.env());
        site = config.site();
        if (!site.defaultsUsed().isEmpty()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "configuration: not given, so taken as: {0}",
                    String.join(", ", site.defaultsUsed()));
        }
        warmup = new JvmWarmup(site);
        warmup.runQueries(JvmWarmup.QUERIES_BEFORE_READY);
        SearchBackend search =
                config.openSearch() != null && config.openSearch().backend()
                        ? new SearchBackend(loop, site, config.openSearch())
                        : null;
        PooledBackend<?> backend = search == null ? new FrameBackend(loop, site) : search;
        nodes = EndpointSource.open(config, loop);
        core = new Gatherer(site.scheduler(), config.seed(), loop, backend, nodes.discovery());
        core.setClassNames(site.classes());
        backend.start(core);
        firstList = new InitialEndpointList(core, loop);
        storeEndpointLists();
        startPlanner();
        loop.execute(this::followEndpoints);
        operator = config.operator() == null
                ? null
                : new OperatorService(folder(context.env()), loop, core, this::takesQueries);
        clients = new ClientServers(config, core, loop, search, () -> ready);
    }

    /**
     * Opens everything and begins to serve.
     *
     * @param stored whether the settings are the store's, not the file's
     * @return the servers that listen, or will
     */
    public static List<HttpServer> start(ConfigReader file, boolean stored, Startup.ProcessContext context)
            throws IOException {
        GathererService service = new GathererService(file, context);
        if (!service.anotherProcess()) {
            service.clients.listen();
        }
        service.handleSignals(file, stored);
        // After the signals' handlers: told that it is ready, whoever starts it may send one at once, which else ends
        // it.
        service.loop.execute(service::begin);
        return service.clients.servers();
    }

    private boolean takesQueries() {
        return ready && clients.servers().stream().allMatch(HttpServer::isListening);
    }

    private boolean anotherProcess() {
        return operator != null && operator.otherProcess();
    }

    private static Path folder(Map<String, String> env) {
        String folder = env.get("TMPDIR");
        return folder == null || folder.isEmpty() ? null : Path.of(folder);
    }

    /** The store's leader saves each endpoint list: a gatherer that starts begins with it, before its first poll. */
    private void storeEndpointLists() {
        if (context.store().leads()) {
            core.addEndpointListListener(this::storeEndpointList);
        }
    }

    private void storeEndpointList(Collection<WorkerEndpoint> hosts) {
        Store store = context.store();
        String list = EndpointListJson.write(
                hosts.stream().sorted(Comparator.comparing(WorkerEndpoint::id)).toList(), config.site());
        if (!list.equals(store.get("nodes"))) {
            store.put("nodes", list, held -> {});
        }
    }

    /** The file's list first: where lists are pushed the next may come at once, and must not be replaced by the file's. */
    private void followEndpoints() {
        core.onEndpointList(EndpointListKind.CACHED, config.known().hosts());
        nodes.start().accept(core);
    }

    private void startPlanner() {
        if (config.plan() != null) {
            PlannerThread planner = new PlannerThread(
                    config.plan(),
                    config.site().scheduler().layout(),
                    loop,
                    core,
                    PlannerThread.thread(),
                    loop::execute);
            loop.execute(planner::start);
        }
    }

    private void handleSignals(ConfigReader file, boolean stored) {
        Consumer<Boolean> loaded = operator == null ? taken -> {} : operator::countReload;
        ConfigReloader.Live live = new ConfigReloader.Live(
                nodes.move(),
                nodes.replace(),
                sockets -> loop.setSocketCap(sockets - Startup.OTHER_DESCRIPTORS),
                this::applySettings);
        new ConfigReloader(context.env(), file, stored, loop::execute, live, loaded).onSignal();
        UpgradePeer peer = operator == null ? UpgradePeer.NONE : operator;
        Runnable leave = context.members() == null ? () -> {} : context.members()::leave;
        new GracefulShutdown(loop, clients.servers(), core, peer, leave).onSignal();
    }

    /** Puts changed settings in use, for queries from now on. */
    private void applySettings(Config changed) {
        site = site.withReloadable(changed.site());
        core.updateSettings(site.scheduler(), site.classes());
        clients.applySettings(site, changed);
    }

    private void begin() {
        if (operator != null) {
            startOperator();
        }
        if (anotherProcess()) {
            firstList.runWithin(LIST_TIMEOUT_S, this::takeOver);
        } else if (nodes.pushed()) {
            firstList.runWithin(PUSHED_LIST_TIMEOUT_S, this::serve);
        } else {
            serve();
        }
    }

    /** Shares capacity with another process of this gatherer, and opens the operators' address. */
    private void startOperator() {
        operator.whenOtherServingChanges(core::setUpgradePeerActive);
        operator.whenOtherProcessChanges(another ->
                loop.shareSocketsWithUpgradePeer(another, (loop.unsharedSocketCap() - Startup.OTHER_DESCRIPTORS) / 2));
        try {
            operator.start(config.operator());
        } catch (IOException e) {
            StartupFailure.exit("can't start: operators' address: " + e.getMessage(), 1);
        }
    }

    /** Takes over from another process: serves beside it from now on. */
    private void takeOver() {
        operator.startServing(() -> {
            clients.listen();
            serve();
        });
    }

    private void serve() {
        ready = true;
        context.events().write("ready");
        clients.servers()
                .forEach(server ->
                        LOG.log(System.Logger.Level.INFO, "{0} serves on {1}", config.name(), server.address()));
        warmup.runRemainingQueries(loop, () -> core.inFlightQueries() == 0);
    }
}
