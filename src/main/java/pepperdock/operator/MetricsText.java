package pepperdock.operator;

import pepperdock.core.Gatherer;
import pepperdock.core.Metrics;
import pepperdock.core.Metrics.QueryOutcome;

/**
 * Formats metrics as text: one line {@code svc.NAME=VALUE} for each metric, or {@code svc.NAME.CLASS=VALUE} for each
 * query class. Stateless.
 */
final class MetricsText {

    private MetricsText() {}

    /**
     * Returns the current values of all metrics.
     *
     * @param unsolicitedInputs how many connections were closed because a server sent input that no request asked for
     * @param reloads how many configuration files were put into use
     * @param rejectedReloads how many were rejected
     */
    static String of(Gatherer core, long unsolicitedInputs, long reloads, long rejectedReloads) {
        Metrics metrics = core.metrics();
        StringBuilder text = new StringBuilder();
        for (String queryClass : metrics.classes()) {
            line(text, "passed." + sanitize(queryClass), metrics.ended(queryClass, QueryOutcome.SERVED));
            line(text, "dropped." + sanitize(queryClass), metrics.ended(queryClass, QueryOutcome.REJECTED));
            line(text, "bad_gateway." + sanitize(queryClass), metrics.ended(queryClass, QueryOutcome.FAILED));
        }
        line(text, "upstream_tries", metrics.attempts());
        line(text, "in_progress", core.inFlightQueries());
        line(text, "known_workers", core.listedEndpointCount());
        line(text, "skipped_workers", core.avoidedEndpointCount());
        line(text, "unsolicited_inputs", unsolicitedInputs);
        line(text, "internal_failures", metrics.internalFailures());
        line(text, "turned_away", metrics.turnedAwayAttempts());
        line(text, "list_version", metrics.endpointListVersion());
        line(text, "list_failures", metrics.endpointListFailures());
        line(text, "loads", reloads);
        line(text, "load_errors", rejectedReloads);
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append("svc.").append(name).append('=').append(value).append('\n');
    }

    /** Replaces characters that would end a name or a line by underscores. */
    private static String sanitize(String name) {
        return name.replaceAll("[\\s=\\p{Cntrl}]", "_");
    }
}
