package pepperdock.simulation;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Prints the figures of docs/measured/acceptance.md on calls to cold workers. Arguments: the number of seeds, and a
 * text that the names of the scenarios to simulate contain.
 */
final class ColdFleetMeasure {

    private ColdFleetMeasure() {}

    public static void main(String[] args) {
        scenarios().forEach((name, scenario) -> {
            if (name.contains(args[1])) {
                print(name, scenario, Integer.parseInt(args[0]));
            }
        });
    }

    private static Map<String, ColdStartScenario> scenarios() {
        Map<String, ColdStartScenario> scenarios = new LinkedHashMap<>();
        for (int cores : new int[] {1, 2}) {
            for (int instances : new int[] {2, 3, 20, 30, 100}) {
                add(scenarios, "ledger", ColdStartScenario.ledger(instances, cores));
                add(scenarios, "single", ColdStartScenario.single(instances, cores));
                add(scenarios, "mixed", ColdStartScenario.mixed(instances, cores));
            }
        }
        return scenarios;
    }

    private static void add(Map<String, ColdStartScenario> scenarios, String kind, ColdStartScenario scenario) {
        String name = kind + " " + scenario.cores() + " core, " + scenario.instances() + " instances, ";
        scenarios.put(name + "usual", scenario);
        scenarios.put(name + "eager", scenario.traffic(1.2, 1.9));
        scenarios.put(name + "idle", scenario.traffic(0.1, 1.9));
        scenarios.put(name + "surge", scenario.traffic(0.05, 20));
        scenarios.put(name + "flood", scenario.traffic(0.8, 25));
        if (scenario.instances() >= 20) {
            scenarios.put(name + "late", scenario.trouble(10, 0, 0));
            scenarios.put(name + "restarted", scenario.trouble(2, 0.7, 0));
            scenarios.put(name + "lost", scenario.trouble(2, 0, 0.7));
        }
    }

    private static void print(String name, ColdStartScenario scenario, int seeds) {
        double[] worst = new double[seeds];
        double toN = 0;
        double sent = 0;
        double served = 0;
        int over = 0;
        for (int s = 0; s < seeds; s++) {
            ColdFleet.Result r = ColdFleet.play(scenario, s);
            worst[s] = r.worst();
            over += r.worst() > 1 ? 1 : 0;
            toN = Math.max(toN, r.worstToN());
            sent += r.sent() / r.allowed() / seeds;
            served += r.served() / seeds;
        }
        Arrays.sort(worst);
        System.out.printf(
                Locale.ROOT,
                "| %s | %.2f | %.2f | %.2f | %d of %d | %.3f | %.3f |%n",
                name,
                worst[seeds / 2],
                worst[seeds - 1],
                toN,
                over,
                seeds,
                sent,
                served);
    }
}
