package pepperdock.platform;

import java.util.List;

/**
 * Parses the load report of a worker's result, {@code name=figure} pairs with commas between them, into figures in the order
 * of the settings. Stateless; may be used on any thread.
 */
final class LoadReportParser {

    private LoadReportParser() {}

    /**
     * Returns the figures of a report in the order of {@code names}. Null where there is no report, where it lacks one of the
     * names, or where a figure is not a finite number of at least 0: half a report would be taken for a light load.
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

    /** A finite figure of at least 0; NaN for whatever else. */
    private static double parseFigure(String text) {
        try {
            double figure = Double.parseDouble(text);
            return figure >= 0 && figure < Double.POSITIVE_INFINITY ? figure : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
