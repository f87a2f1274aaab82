package pepperdock.platform;

import java.util.List;
import java.util.Map;

/** Load reports as workers word them, {@code name=figure} with commas, put in the order of the settings. */
final class Reports {

    private static final Map<String, String> NAMES = Map.of(
            "inflight",
            "outstanding",
            "queue",
            "backlog",
            "util",
            "utilization",
            "latency_ms",
            "recent_ms",
            "qps",
            "throughput",
            "eps",
            "errors_per_s");

    private Reports() {}

    /** The figures by the settings' names; null where there is no report, or one that lacks any of them. */
    static double[] row(String report, List<String> names) {
        double[] row = new double[names.size()];
        int found = 0;
        for (String pair : report.split(",")) {
            int is = pair.indexOf('=');
            String name = is < 0 ? "" : pair.substring(0, is);
            int at = names.indexOf(NAMES.getOrDefault(name, name));
            if (at >= 0) {
                try {
                    row[at] = Double.parseDouble(pair.substring(is + 1));
                    if (!(row[at] >= 0 && row[at] < Double.POSITIVE_INFINITY)) {
                        return null;
                    }
                    found++;
                } catch (NumberFormatException e) {
                    return null;
                }
            }
        }
        return found > 0 && found == names.size() ? row : null;
    }
}
