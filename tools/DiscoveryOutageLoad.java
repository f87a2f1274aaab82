import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import pepperdock.scheduler.EndpointListKind;
import pepperdock.config.Config;
import pepperdock.config.ConfigReader;
import pepperdock.config.DeploymentSettingsReader;
import pepperdock.config.DeploymentSettings;
import pepperdock.core.Attempt;
import pepperdock.core.Backend;
import pepperdock.core.Gatherer;
import pepperdock.core.WorkerEndpoint;
import pepperdock.core.ManualClock;

/**
 * Simulates the calls that a fleet of gatherers makes to discovery during an outage and after recovery, on a manual
 * clock. It uses real cores and modules, with fakes for the watch and for discovery. The fake discovery serves calls in
 * order and fails with 503 those that waited over two seconds. During the outage, calls are refused at once or hang
 * until they are reset at recovery.
 *
 * <p>{@code java -cp target/pepperdock.jar tools/DiscoveryOutageLoad.java GATHERERS CALLS_PER_S OUTAGE_S ROUNDS}; needs the built
 * jar.
 */
public final class DiscoveryOutageLoad {

    private static final double BEGIN = 1000;
    private static final double QUIET_S = 12;
    private static final double AFTER_S = 20;
    private static final double WAIT_S = 8;
    private static final double CALL_TIMEOUT_S = 3;
    private static final double MAX_QUEUE_S = 2;
    private static final double NETWORK_DELAY_S = 0.001;

    /** How calls fail while discovery is down. */
    private enum OutageMode { REFUSED, HANG }

    /** The fake discovery, with one queue for all calls. */
    private static final class Service {
        private final ManualClock clock = new ManualClock(BEGIN);
        private final double callsPerS;
        private final OutageMode outageMode;
        private final List<Double> calls = new ArrayList<>();
        private final List<Watch> watches = new ArrayList<>();
        private double freeAt;
        private boolean down;
        private int failures;

        Service(double callsPerS, OutageMode outageMode) {
            this.callsPerS = callsPerS;
            this.outageMode = outageMode;
        }

        void take(Watch from, int callNumber) {
            double now = clock.now();
            calls.add(now);
            if (down) {
                if (outageMode == OutageMode.REFUSED) {
                    clock.after(NETWORK_DELAY_S, () -> from.failed(callNumber));
                }
                return;
            }
            double serveAt = Math.max(now, freeAt);
            if (serveAt - now > MAX_QUEUE_S) {
                failures++;
                clock.after(MAX_QUEUE_S, () -> from.failed(callNumber));
                return;
            }
            freeAt = serveAt + 1 / callsPerS;
            clock.after(freeAt - now + NETWORK_DELAY_S, () -> {
                if (!down) {
                    from.served(callNumber);
                }
            });
        }

        void goDown() {
            down = true;
            watches.forEach(w -> w.failed(w.call));
        }

        void comeBack() {
            down = false;
            freeAt = clock.now();
            watches.forEach(w -> {
                w.since = Double.NaN;
                if (outageMode == OutageMode.HANG && w.busy) {
                    w.failed(w.call);
                }
            });
        }
    }

    /** One gatherer's watch: repeats an unanswered call after 3 s, and once it was served waits 8 s for changes. */
    private static final class Watch implements Backend {
        private final Service service;
        private final Gatherer core;
        private int call;
        private boolean busy;
        private boolean standing;
        private double since;

        Watch(Service service, DeploymentSettings site, int seed) {
            this.service = service;
            core = new Gatherer(site.scheduler(), seed, service.clock, this, this::subscribe);
            core.onEndpointList(EndpointListKind.CACHED, List.of());
        }

        private void subscribe() {
            if (!busy) {
                ask();
            }
        }

        private void ask() {
            busy = true;
            int callNumber = ++call;
            service.take(this, callNumber);
            if (!standing) {
                service.clock.after(CALL_TIMEOUT_S, () -> {
                    if (busy && callNumber == call) {
                        ask();
                    }
                });
            }
        }

        private void served(int callNumber) {
            if (callNumber == call) {
                if (!standing) {
                    standing = true;
                    since = Double.isNaN(since) ? service.clock.now() : since;
                    core.onEndpointList(EndpointListKind.CHANGES, List.of());
                    ask();
                } else {
                    service.clock.after(WAIT_S, () -> {
                        if (standing && callNumber == call) {
                            ask();
                        }
                    });
                }
            }
        }

        private void failed(int callNumber) {
            if (busy && callNumber == call) {
                call++;
                busy = false;
                standing = false;
                core.onEndpointList(EndpointListKind.FAILED, List.of());
            }
        }

        @Override
        public void sendCall(String worker, List<Attempt> attempts) { }

        @Override
        public void cancel(Attempt attempt) { }

        @Override
        public void checkHealth(String worker) { }

        @Override
        public void closeIdleConnections(String worker) { }

        @Override
        public void updateEndpoints(Map<String, WorkerEndpoint> hosts) { }
    }

    private record Round(double callsPerS, double most1, double most01, double after1, double after10,
            double worst, int failures) { }

    public static void main(String[] args) throws IOException {
        int gatherers = Integer.parseInt(args[0]);
        double callsPerS = Double.parseDouble(args[1]);
        double outageS = Double.parseDouble(args[2]);
        int rounds = Integer.parseInt(args[3]);
        ConfigReader whole;
        try (InputStream in = Files.newInputStream(Path.of("src/main/resources/pepperdock/rehearsal.json"))) {
            whole = ConfigReader.of("", Config.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8), "rehearsal"));
        }
        DeploymentSettings site = DeploymentSettingsReader.read(whole.requiredObject("settings"));
        for (OutageMode outageMode : OutageMode.values()) {
            List<Round> all = new ArrayList<>();
            for (int i = 0; i < rounds; i++) {
                all.add(round(site, gatherers, callsPerS, outageS + i * 0.137, outageMode, i));
            }
            System.out.printf(Locale.ROOT, "%d gatherers, %.0f calls/s served, down for %.1f to %.1f s, calls %s, %d rounds%n",
                    gatherers, callsPerS, outageS, outageS + (rounds - 1) * 0.137, outageMode, rounds);
            System.out.printf(Locale.ROOT, "  down: mean calls/s %.1f, most in 1 s %.0f, most in 0.1 s %.0f%n",
                    all.stream().mapToDouble(Round::callsPerS).average().orElseThrow(),
                    all.stream().mapToDouble(Round::most1).max().orElseThrow(),
                    all.stream().mapToDouble(Round::most01).max().orElseThrow());
            System.out.printf(Locale.ROOT, "  back: most in 1 s %.0f, in the first 10 s %.0f, failed %d; last list after %.2f s at worst, mean %.2f s%n",
                    all.stream().mapToDouble(Round::after1).max().orElseThrow(),
                    all.stream().mapToDouble(Round::after10).average().orElseThrow(),
                    all.stream().mapToInt(Round::failures).sum(),
                    all.stream().mapToDouble(Round::worst).max().orElseThrow(),
                    all.stream().mapToDouble(Round::worst).average().orElseThrow());
        }
    }

    private static Round round(DeploymentSettings site, int gatherers, double callsPerS, double outageS,
            OutageMode outageMode, int seed) {
        Service service = new Service(callsPerS, outageMode);
        for (int g = 0; g < gatherers; g++) {
            service.watches.add(new Watch(service, site, seed * 1000 + g));
        }
        service.clock.advance(QUIET_S);
        double downAt = service.clock.now();
        service.goDown();
        service.clock.advance(outageS);
        double backAt = service.clock.now();
        service.comeBack();
        int failedBefore = service.failures;
        service.clock.advance(AFTER_S);
        double worst = service.watches.stream().mapToDouble(w -> w.since - backAt).max().orElseThrow();
        if (service.watches.stream().anyMatch(w -> Double.isNaN(w.since))) {
            worst = Double.POSITIVE_INFINITY;
        }
        return new Round(count(service.calls, downAt, backAt) / outageS, most(service.calls, downAt, backAt, 1),
                most(service.calls, downAt, backAt, 0.1), most(service.calls, backAt, backAt + 10, 1),
                count(service.calls, backAt, backAt + 10), worst, service.failures - failedBefore);
    }

    private static double count(List<Double> calls, double from, double to) {
        return calls.stream().filter(t -> t > from && t <= to).count();
    }

    private static double most(List<Double> calls, double from, double to, double spanS) {
        double most = 0;
        for (double at = from; at < to; at += spanS / 4) {
            most = Math.max(most, count(calls, at, Math.min(to, at + spanS)));
        }
        return most;
    }
}
