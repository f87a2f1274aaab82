package pepperdock.benchmark;

import java.util.List;

/**
 * A straight line through measured points, by least squares.
 *
 * @param intercept value at 0
 * @param slope by how much the value grows for each one of the size
 * @param residual root of the mean square of what the line leaves, in the value's unit
 */
record LeastSquares(double intercept, double slope, double residual) {

    /** A measured value at a size. */
    record Point(double size, double value) {}

    static LeastSquares fit(List<Point> points) {
        double n = points.size();
        double meanSize = points.stream().mapToDouble(Point::size).sum() / n;
        double meanValue = points.stream().mapToDouble(Point::value).sum() / n;
        double covariance = 0;
        double variance = 0;
        for (Point p : points) {
            covariance += (p.size() - meanSize) * (p.value() - meanValue);
            variance += (p.size() - meanSize) * (p.size() - meanSize);
        }
        if (variance == 0) {
            throw new IllegalArgumentException("a line needs two sizes");
        }
        double slope = covariance / variance;
        double intercept = meanValue - slope * meanSize;
        double squares = 0;
        for (Point p : points) {
            double off = p.value() - intercept - slope * p.size();
            squares += off * off;
        }
        return new LeastSquares(intercept, slope, Math.sqrt(squares / n));
    }
}
