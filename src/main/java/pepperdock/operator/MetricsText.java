package pepperdock.operator;

import pepperdock.core.Gatherer;
import pepperdock.core.Metrics;
import pepperdock.core.Metrics.QueryOutcome;

/** The one place that knows how metrics are written: a line {@code svc.NAME=VALUE} each, those of a class {@code svc.NAME.CLASS}. */
final class MetricsText {

    private MetricsText() {}

    static String of(Gatherer core, long loads, long loadErrors) {
        Metrics f = core.metrics();
        StringBuilder text = new StringBuilder();
        for (String queryClass : f.classes()) {
            line(text, "passed." + word(queryClass), f.ended(queryClass, QueryOutcome.SERVED));
            line(text, "dropped." + word(queryClass), f.ended(queryClass, QueryOutcome.REJECTED));
            line(text, "bad_gateway." + word(queryClass), f.ended(queryClass, QueryOutcome.FAILED));
        }
        line(text, "upstream_tries", f.attempts());
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

    /** What would end a name or a line is written as an underscore. */
    private static String word(String name) {
        return name.replaceAll("[\\s=\\p{Cntrl}]", "_");
    }
}
