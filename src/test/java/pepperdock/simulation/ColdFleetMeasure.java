package pepperdock.simulation;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Prints the figures of docs/measured/acceptance.md on calls to cold workers. Arguments: seeds, and a text that the names of the
 * days to play contain.
 */
final class ColdFleetMeasure {

    private ColdFleetMeasure() {}

    public static void main(String[] args) {
        days().forEach((name, day) -> {
            if (name.contains(args[1])) {
                print(name, day, Integer.parseInt(args[0]));
            }
        });
    }

    private static Map<String, ColdDay> days() {
        Map<String, ColdDay> days = new LinkedHashMap<>();
        for (int cores : new int[] {1, 2}) {
            for (int instances : new int[] {2, 3, 20, 30, 100}) {
                add(days, "ledger", ColdDay.ledger(instances, cores));
                add(days, "single", ColdDay.single(instances, cores));
                add(days, "mixed", ColdDay.mixed(instances, cores));
            }
        }
        return days;
    }

    private static void add(Map<String, ColdDay> days, String kind, ColdDay day) {
        String name = kind + " " + day.cores() + " core, " + day.instances() + " instances, ";
        days.put(name + "usual", day);
        days.put(name + "eager", day.traffic(1.2, 1.9));
        days.put(name + "idle", day.traffic(0.1, 1.9));
        days.put(name + "surge", day.traffic(0.05, 20));
        days.put(name + "flood", day.traffic(0.8, 25));
        if (day.instances() >= 20) {
            days.put(name + "late", day.trouble(10, 0, 0));
            days.put(name + "restarted", day.trouble(2, 0.7, 0));
            days.put(name + "lost", day.trouble(2, 0, 0.7));
        }
    }

    private static void print(String name, ColdDay day, int seeds) {
        double[] worst = new double[seeds];
        double toN = 0;
        double sent = 0;
        double served = 0;
        int over = 0;
        for (int s = 0; s < seeds; s++) {
            ColdFleet.Result r = ColdFleet.play(day, s);
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
