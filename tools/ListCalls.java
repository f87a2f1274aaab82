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
 * Reckons the calls that a fleet makes of discovery while it is down and after its return, on a clock moved by hand: whole
 * cores and modules, with a stand-in for the watch and for discovery, which serves calls in turn and fails with 503 what
 * waited over two seconds. While it is down, calls are refused at once or hang (then they are reset at its return).
 *
 * <p>{@code java -cp target/pepperdock.jar tools/ListCalls.java GATHERERS CALLS_PER_S OUTAGE_S ROUNDS}; needs the built jar.
 */
public final class ListCalls {

    private static final double BEGIN = 1000;
    private static final double QUIET_S = 12;
    private static final double AFTER_S = 20;
    private static final double WAIT_S = 8;
    private static final double PATIENCE_S = 3;
    private static final double QUEUE_MOST_S = 2;
    private static final double WAY_S = 0.001;

    /** What becomes of calls while discovery is down. */
    private enum Down { REFUSED, HANG }

    /** Discovery: one queue for all. */
    private static final class Service {
        private final ManualClock clock = new ManualClock(BEGIN);
        private final double perS;
        private final Down how;
        private final List<Double> calls = new ArrayList<>();
        private final List<Watch> watches = new ArrayList<>();
        private double freeAt;
        private boolean down;
        private int failures;

        Service(double perS, Down how) {
            this.perS = perS;
            this.how = how;
        }

        void take(Watch from, int no) {
            double now = clock.now();
            calls.add(now);
            if (down) {
                if (how == Down.REFUSED) {
                    clock.after(WAY_S, () -> from.failed(no));
                }
                return;
            }
            double turn = Math.max(now, freeAt);
            if (turn - now > QUEUE_MOST_S) {
                failures++;
                clock.after(QUEUE_MOST_S, () -> from.failed(no));
                return;
            }
            freeAt = turn + 1 / perS;
            clock.after(freeAt - now + WAY_S, () -> {
                if (!down) {
                    from.served(no);
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
                if (how == Down.HANG && w.busy) {
                    w.failed(w.call);
                }
            });
        }
    }

    /** One gatherer's watch: a call, another after 3 s of silence, and 8 s of waiting for news once it is served. */
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
            int no = ++call;
            service.take(this, no);
            if (!standing) {
                service.clock.after(PATIENCE_S, () -> {
                    if (busy && no == call) {
                        ask();
                    }
                });
            }
        }

        private void served(int no) {
            if (no == call) {
                if (!standing) {
                    standing = true;
                    since = Double.isNaN(since) ? service.clock.now() : since;
                    core.onEndpointList(EndpointListKind.CHANGES, List.of());
                    ask();
                } else {
                    service.clock.after(WAIT_S, () -> {
                        if (standing && no == call) {
                            ask();
                        }
                    });
                }
            }
        }

        private void failed(int no) {
            if (busy && no == call) {
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

    private record Round(double perS, double most1, double most01, double after1, double after10, double worst, int failures) { }

    public static void main(String[] args) throws IOException {
        int gatherers = Integer.parseInt(args[0]);
        double perS = Double.parseDouble(args[1]);
        double outageS = Double.parseDouble(args[2]);
        int rounds = Integer.parseInt(args[3]);
        ConfigReader whole;
        try (InputStream in = Files.newInputStream(Path.of("src/main/resources/pepperdock/rehearsal.json"))) {
            whole = ConfigReader.of("", Config.parse(new String(in.readAllBytes(), StandardCharsets.UTF_8), "rehearsal"));
        }
        DeploymentSettings site = DeploymentSettingsReader.read(whole.requiredObject("settings"));
        for (Down how : Down.values()) {
            List<Round> all = new ArrayList<>();
            for (int i = 0; i < rounds; i++) {
                all.add(round(site, gatherers, perS, outageS + i * 0.137, how, i));
            }
            System.out.printf(Locale.ROOT, "%d gatherers, %.0f calls/s served, down for %.1f to %.1f s, calls %s, %d rounds%n",
                    gatherers, perS, outageS, outageS + (rounds - 1) * 0.137, how, rounds);
            System.out.printf(Locale.ROOT, "  down: mean calls/s %.1f, most in 1 s %.0f, most in 0.1 s %.0f%n",
                    all.stream().mapToDouble(Round::perS).average().orElseThrow(),
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

    private static Round round(DeploymentSettings site, int gatherers, double perS, double outageS, Down how, int seed) {
        Service service = new Service(perS, how);
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
