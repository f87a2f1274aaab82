package pepperdock.platform;

import java.util.List;

/**
 * Parses the load report of a worker's result, which consists of comma-separated {@code name=figure} pairs, into
 * figures in the order of the settings. Stateless and thread-safe.
 */
final class LoadReportParser {

    private LoadReportParser() {}

    /**
     * Returns the figures of a report in the order of {@code names}. Returns null if there is no report, if it lacks
     * one of the names, or if a figure is not a finite number of at least 0: an incomplete report would be mistaken for
     * a light load.
     */
    static double[] parse(String report, List<String> names) {
        double[] figures = new double[names.size()];
        int found = 0;
        for (String pair : report.split(",")) {
            int separator = pair.indexOf('=');
            String name = separator < 0 ? "" : pair.substring(0, separator);
            int index = names.indexOf(WorkerProtocol.loadReportName(name));
            if (index >= 0) {
                double figure = parseFigure(pair.substring(separator + 1));
                if (Double.isNaN(figure)) {
                    return null;
                }
                figures[index] = figure;
                found++;
            }
        }
        return found > 0 && found == names.size() ? figures : null;
    }

    /** Returns a finite figure of at least 0, or NaN for any other text. */
    private static double parseFigure(String text) {
        try {
            double figure = Double.parseDouble(text);
            return figure >= 0 && figure < Double.POSITIVE_INFINITY ? figure : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
