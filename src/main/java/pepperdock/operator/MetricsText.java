package pepperdock.operator;

import pepperdock.core.Gatherer;
import pepperdock.core.Metrics;
import pepperdock.core.Metrics.QueryOutcome;

/**
 * The format of metrics, and their names: a line {@code svc.NAME=VALUE} each, and {@code svc.NAME.CLASS=VALUE} for each query
 * class. Stateless.
 */
final class MetricsText {

    private MetricsText() {}

    /**
     * All metrics as of now.
     *
     * @param loads how many configuration files were put in use
     * @param loadErrors how many were rejected
     */
    static String of(Gatherer core, long loads, long loadErrors) {
        Metrics metrics = core.metrics();
        StringBuilder text = new StringBuilder();
        for (String queryClass : metrics.classes()) {
            line(text, "passed." + word(queryClass), metrics.ended(queryClass, QueryOutcome.SERVED));
            line(text, "dropped." + word(queryClass), metrics.ended(queryClass, QueryOutcome.REJECTED));
            line(text, "bad_gateway." + word(queryClass), metrics.ended(queryClass, QueryOutcome.FAILED));
        }
        line(text, "upstream_tries", metrics.attempts());
        line(text, "in_progress", core.inFlightQueries());
        line(text, "known_workers", core.listedEndpointCount());
        line(text, "skipped_workers", core.avoidedEndpointCount());
        line(text, "loads", loads);
        line(text, "load_errors", loadErrors);
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append("svc.").append(name).append('=').append(value).append('\n');
    }

    /** Characters that would end a name or a line become underscores. */
    private static String word(String name) {
        return name.replaceAll("[\\s=\\p{Cntrl}]", "_");
    }
}
