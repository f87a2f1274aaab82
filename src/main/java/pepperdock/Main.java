package pepperdock;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.Charset;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import pepperdock.aggregator.Aggregator.ListKind;
import pepperdock.cli.Cli;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.HostList;
import pepperdock.config.Keys;
import pepperdock.config.Site;
import pepperdock.config.StoreConfig;
import pepperdock.core.Discovery;
import pepperdock.core.FixedList;
import pepperdock.core.Gatherer;
import pepperdock.core.Host;
import pepperdock.core.PooledBackend;
import pepperdock.dnssd.DnsSd;
import pepperdock.events.Events;
import pepperdock.members.Members;
import pepperdock.net.HttpServer;
import pepperdock.net.Loop;
import pepperdock.opensearch.SearchBackend;
import pepperdock.opensearch.SearchFront;
import pepperdock.operator.Operator;
import pepperdock.operator.UpgradePeer;
import pepperdock.planner.PlannerThread;
import pepperdock.platform.Front;
import pepperdock.platform.Warmup;
import pepperdock.platform.Watch;
import pepperdock.platform.WorkerPool;
import pepperdock.simulator.SimulatorAdapter;
import pepperdock.store.Store;

/** The command line, and the wiring: {@code serve} is one gatherer, {@code drill} the simulator's wire. */
public final class Main {

    static {
        LogLine.install();
    }

    /** After the log is set up: the first logger asked for decides how the JDK reads its set-up. */
    private static final System.Logger LOG = System.getLogger("pepperdock");
    /** Descriptors that are not ours to use: the jar, the selectors, standard streams (18 seen), and some to spare. */
    private static final int OTHER_DESCRIPTORS = 40;
    /** Of all descriptors, clients may hold one in so many: connections to workers and discovery need theirs. */
    private static final int CLIENTS_SHARE = 3;
    /** Beside another process of the same gatherer, ready when the list has been asked for, or after so long. */
    private static final double LIST_S = 3;
    /**
     * Where lists come unasked, what the agent has counts as told from a new process's first moment: ready once its list is
     * here, or after so long. An agent that is silent has nothing to tell.
     */
    static final double UNASKED_LIST_S = 1.5;

    private static final int BODY_MOST = 64 << 10;
    private static final int SEARCH_BODY_MOST = 1 << 20;
    private static final int BUFFER_MOST = 256 << 10;
    private static final int SEARCH_BUFFER_MOST = 16 << 20;

    private Main() {}

    public static void main(String[] args) {
        String what = args.length == 1 ? args[0] : "";
        switch (what) {
            case "drill" -> System.exit(new SimulatorAdapter(System.in, System.out, System.err).run());
            case "serve" -> {
                try {
                    open(System.getenv());
                } catch (ConfigException e) {
                    stop("configuration: " + e.getMessage(), 2);
                } catch (IOException e) {
                    stop("can't start: " + e.getMessage(), 1);
                } catch (RuntimeException e) {
                    // The loop's thread would otherwise keep a program going that serves nobody.
                    LOG.log(System.Logger.Level.ERROR, "can't start", e);
                    System.exit(1);
                }
            }
            case "rehearse" -> {
                try {
                    ClassArchiveTraining.run();
                } catch (IOException | RuntimeException e) {
                    // Without the archive of this run the program starts more slowly, and that is all.
                    stop("class archive training: " + e, 1);
                }
                System.exit(0);
            }
            default -> System.exit(Cli.run(args, writer(System.out), writer(System.err)));
        }
    }

    private static PrintWriter writer(PrintStream stream) {
        return new PrintWriter(stream, true, Charset.defaultCharset());
    }

    private static void stop(String why, int status) {
        System.err.println(why);
        System.exit(status);
    }

    /** Opens the store first: a member whose file has no settings serves by those that the store holds. */
    private static void open(Map<String, String> env) throws IOException {
        Keys file = Config.file(env);
        StoreConfig members = Config.store(file);
        if (file.has("settings")) {
            Config.read(file, env);
        }
        Loop loop = new Loop(
                Config.sockets(file) - OTHER_DESCRIPTORS,
                file.has("opensearch") || members != null || file.has("members") ? SEARCH_BUFFER_MOST : BUFFER_MOST);
        Store store = new Store(members, loop);
        Events events = Events.of(Config.events(file));
        Members fleet = file.has("members") ? Members.open(file, loop, events) : null;
        Base base = new Base(env, loop, store, events, fleet);
        if (file.has("settings")) {
            serve(known(file, store), false, base);
            loop.execute(() -> {
                if (store.leads() && !file.json("settings").equals(store.get("settings"))) {
                    store.put("settings", file.json("settings"), held -> {});
                }
            });
        } else if (store.get("settings") != null) {
            serveStored(file, base);
        } else {
            LOG.log(System.Logger.Level.INFO, "no settings yet, waiting for the store");
            boolean[] begun = {false};
            store.watch((key, value) -> {
                if (key.equals("settings") && !begun[0]) {
                    begun[0] = true;
                    loop.execute(() -> serveStored(file, base));
                }
            });
        }
    }

    private static void serveStored(Keys file, Base base) {
        try {
            Keys whole = file.with("settings", Config.parse(base.store().get("settings"), "settings"));
            serve(known(whole, base.store()), true, base);
        } catch (ConfigException e) {
            stop("configuration: " + e.getMessage(), 2);
        } catch (IOException e) {
            stop("can't start: " + e.getMessage(), 1);
        }
    }

    /** Where the file knows no nodes, those that the store last held. */
    private static Keys known(Keys file, Store store) {
        return file.has("known") || store.get("nodes") == null
                ? file
                : file.with("known", Config.parse(store.get("nodes"), "known"));
    }

    /** What stands before there are settings; {@code members} is null where the file has none. */
    record Base(Map<String, String> env, Loop loop, Store store, Events events, Members members) {}

    /** Returns the servers that listen, or will; {@code stored} says that the settings are the store's, not the file's. */
    static List<HttpServer> serve(Keys file, boolean stored, Base base) throws IOException {
        Map<String, String> env = base.env();
        Loop loop = base.loop();
        Config config = Config.read(file, env);
        if (!config.site().assumed().isEmpty()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "configuration: not given, so taken as: {0}",
                    String.join(", ", config.site().assumed()));
        }
        Warmup warmup = new Warmup(config.site());
        warmup.play(Warmup.BEFORE);
        boolean searches = config.openSearch() != null && config.openSearch().backend();
        WorkerPool pool = searches ? null : new WorkerPool(loop, config.site());
        SearchBackend search = searches ? new SearchBackend(loop, config.site(), config.openSearch()) : null;
        Watch watch = config.dnsSd() != null || config.discovery() == null
                ? null
                : new Watch(
                        loop, config.discovery(), config.site(), config.known().seq());
        DnsSd dnsSd = config.dnsSd() == null ? null : new DnsSd(config.dnsSd(), config.site(), loop, loop::execute);
        FixedList fixed = watch != null || dnsSd != null
                ? null
                : new FixedList(loop, config.known().hosts());
        PooledBackend<?> backend = searches ? search : pool;
        Discovery discovery = watch != null ? watch : dnsSd != null ? dnsSd : fixed;
        Gatherer core = new Gatherer(config.site().module(), config.seed(), loop, backend, discovery);
        core.name(config.site().classes());
        backend.start(core);
        FirstList firstList = new FirstList(core, loop);
        keepNodes(core, config, base.store());
        if (config.plan() != null) {
            PlannerThread planner = new PlannerThread(
                    config.plan(), config.site().module().layout(), loop, core, PlannerThread.thread(), loop::execute);
            loop.execute(planner::start);
        }
        if (dnsSd != null) {
            dnsSd.start(core);
        } else if (fixed != null) {
            fixed.start(core);
        }
        loop.execute(() -> {
            // The file's list first: where lists come unasked the next may come at once, and must not be replaced by
            // it.
            core.listed(ListKind.HELD, config.known().hosts());
            if (watch != null) {
                watch.start(core);
            }
        });
        boolean[] ready = {false};
        List<HttpServer> servers = new ArrayList<>();
        Operator operator = config.operator() == null
                ? null
                : new Operator(
                        folder(env),
                        loop,
                        core,
                        () -> ready[0] && servers.stream().allMatch(HttpServer::listens));
        Front front = config.listen() == null ? null : new Front(config.site(), core, () -> ready[0]);
        SearchFront searchFront = config.openSearch() == null
                ? null
                : new SearchFront(config.site(), config.openSearch(), core, loop, search);
        Runnable fronts = () -> servers.addAll(listen(config, loop, front, searchFront));
        if (operator == null || !operator.otherProcess()) {
            fronts.run();
        }
        Site[] site = {config.site()};
        new Reload(
                        env,
                        file,
                        stored,
                        loop::execute,
                        new Reload.Live(
                                watch == null ? null : watch::move,
                                fixed == null ? null : fixed::replace,
                                n -> loop.capSockets(n - OTHER_DESCRIPTORS),
                                to -> {
                                    site[0] = site[0].changed(to.site());
                                    core.settings(site[0].module(), site[0].classes());
                                    if (front != null) {
                                        front.use(site[0]);
                                    }
                                    if (searchFront != null) {
                                        searchFront.use(site[0], to.openSearch());
                                    }
                                }),
                        operator == null ? taken -> {} : operator::read)
                .onSignal();
        new Drain(
                        loop,
                        servers,
                        core,
                        operator == null ? UpgradePeer.NONE : operator,
                        base.members() == null ? () -> {} : base.members()::leave)
                .onSignal();
        Runnable begin = () -> {
            ready[0] = true;
            base.events().tell("ready");
            servers.forEach(s -> LOG.log(System.Logger.Level.INFO, "{0} serves on {1}", config.name(), s.address()));
            warmup.spread(loop, () -> core.inHand() == 0);
        };
        // After the signals' handlers: told that it is ready, whoever starts it may send one at once, which else ends
        // it.
        loop.execute(() -> {
            if (operator != null) {
                operate(operator, config, loop, core);
            }
            boolean unasked = watch != null && !config.site().module().mustAsk();
            becomeReady(operator, unasked, firstList, fronts, begin);
        });
        return servers;
    }

    /** Begins to serve, at once or when the list has come; {@code unasked} where an agent tells the list. */
    private static void becomeReady(
            Operator operator, boolean unasked, FirstList firstList, Runnable fronts, Runnable begin) {
        if (operator != null && operator.otherProcess()) {
            Runnable takeOver = () -> {
                fronts.run();
                begin.run();
            };
            firstList.within(LIST_S, () -> operator.serve(takeOver));
        } else if (unasked) {
            firstList.within(UNASKED_LIST_S, begin);
        } else {
            begin.run();
        }
    }

    /** Where clients connect; shared with another process where operators may upgrade this one. */
    private static List<HttpServer> listen(Config config, Loop loop, Front front, SearchFront searchFront) {
        IntSupplier clients = () ->
                (loop.sockets() + OTHER_DESCRIPTORS) / CLIENTS_SHARE / (front != null && searchFront != null ? 2 : 1);
        Loop.Kind kind = config.operator() == null ? Loop.Kind.OWN : Loop.Kind.SHARED;
        List<HttpServer> made = new ArrayList<>();
        try {
            if (front != null) {
                made.add(new HttpServer(loop, config.listen(), kind, HttpServer.REQUEST_S, BODY_MOST, clients, front));
            }
            if (searchFront != null) {
                made.add(new HttpServer(
                        loop,
                        config.openSearch().listen(),
                        kind,
                        HttpServer.REQUEST_S,
                        SEARCH_BODY_MOST,
                        clients,
                        searchFront));
            }
        } catch (IOException e) {
            stop("can't start: " + e.getMessage(), 1);
        }
        return made;
    }

    /** What two processes of one gatherer share between them, and the operators' address. */
    private static void operate(Operator operator, Config config, Loop loop, Gatherer core) {
        operator.whenOtherServingChanges(core::beside);
        operator.whenOtherProcessChanges(
                another -> loop.shareSockets(another, (loop.wholeCap() - OTHER_DESCRIPTORS) / 2));
        try {
            operator.start(config.operator());
        } catch (IOException e) {
            stop("can't start: operators' address: " + e.getMessage(), 1);
        }
    }

    private static Path folder(Map<String, String> env) {
        String folder = env.get("TMPDIR");
        return folder == null || folder.isEmpty() ? null : Path.of(folder);
    }

    /** The leader keeps the last node list in the store: what a gatherer that starts anew knows before it has asked. */
    private static void keepNodes(Gatherer core, Config config, Store store) {
        if (store.leads()) {
            core.whenListed(hosts -> {
                String list = HostList.write(
                        hosts.stream()
                                .sorted(java.util.Comparator.comparing(Host::id))
                                .toList(),
                        config.site());
                if (!list.equals(store.get("nodes"))) {
                    store.put("nodes", list, held -> {});
                }
            });
        }
    }
}
