package pepperdock.benchmark;

import java.util.List;

/**
 * Fits a straight line through measured points by least squares.
 *
 * @param intercept value of the line at size 0
 * @param slope growth of the value per unit of size
 * @param residual root mean square of the residuals, in the value's unit
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
        for (Point point : points) {
            covariance += (point.size() - meanSize) * (point.value() - meanValue);
            variance += (point.size() - meanSize) * (point.size() - meanSize);
        }
        if (variance == 0) {
            throw new IllegalArgumentException("a least-squares line needs points of at least two different sizes");
        }
        double slope = covariance / variance;
        double intercept = meanValue - slope * meanSize;
        double squares = 0;
        for (Point point : points) {
            double deviation = point.value() - intercept - slope * point.size();
            squares += deviation * deviation;
        }
        return new LeastSquares(intercept, slope, Math.sqrt(squares / n));
    }
}
