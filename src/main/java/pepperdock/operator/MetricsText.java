package pepperdock.operator;

import java.util.Locale;
import pepperdock.core.Gatherer;
import pepperdock.core.Metrics;
import pepperdock.core.Metrics.QueryOutcome;
import pepperdock.transport.TransportMetrics;
import pepperdock.transport.TransportMetrics.ClientCloseReason;

/**
 * Formats metrics as text: one line {@code svc.NAME=VALUE} for each metric, or {@code svc.NAME.CLASS=VALUE} for each
 * query class. Stateless.
 */
final class MetricsText {

    private MetricsText() {}

    /**
     * Returns the current values of all metrics.
     *
     * @param transport counters of the event loop and its connections
     * @param reloads how many configuration files were put into use
     * @param rejectedReloads how many were rejected
     */
    static String of(Gatherer core, TransportMetrics transport, long reloads, long rejectedReloads) {
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
        line(text, "unsolicited_inputs", transport.unsolicitedInputs());
        line(text, "late_answers", metrics.lateAnswers());
        line(text, "loop_stalls", transport.stalls());
        line(text, "loop_late_ms", transport.longestStallMs());
        line(text, "client_input_ms", transport.inputMs());
        for (ClientCloseReason reason : ClientCloseReason.values()) {
            line(text, "client_closes." + reason.name().toLowerCase(Locale.ROOT), transport.clientCloses(reason));
        }
        line(text, "internal_failures", metrics.internalFailures());
        line(text, "turned_away", metrics.turnedAwayAttempts());
        line(text, "retracted_results", metrics.retractedResults());
        line(text, "retracted_too_late", metrics.resultsRetractedTooLate());
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
