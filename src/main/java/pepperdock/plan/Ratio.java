package pepperdock.plan;

import java.math.BigInteger;

/** An exact quotient of work and capacity, compared without rounding. The capacity is above 0. Immutable. */
public record Ratio(BigInteger work, BigInteger capacity) implements Comparable<Ratio> {

    /** The ratio of no work. */
    public static final Ratio ZERO = new Ratio(BigInteger.ZERO, BigInteger.ONE);

    /** Checks that the work is not negative and the capacity above 0, and reduces the fraction. */
    public Ratio {
        if (capacity.signum() <= 0 || work.signum() < 0) {
            throw new IllegalArgumentException(
                    work + " of work (expected at least 0) over a capacity (expected above 0) of " + capacity);
        }
        BigInteger divisor = work.gcd(capacity);
        work = work.divide(divisor);
        capacity = capacity.divide(divisor);
    }

    @Override
    public int compareTo(Ratio other) {
        return work.multiply(other.capacity).compareTo(other.work.multiply(capacity));
    }

    /** Returns whether there is more work than capacity. */
    public boolean aboveOne() {
        return work.compareTo(capacity) > 0;
    }

    /** Returns the quotient as a floating-point number. */
    public double value() {
        return work.doubleValue() / capacity.doubleValue();
    }
}
