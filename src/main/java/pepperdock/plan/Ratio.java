package pepperdock.plan;

import java.math.BigInteger;

/** An exact quotient of work by capacity, the latter above 0; compared without rounding. Immutable. */
public record Ratio(BigInteger work, BigInteger capacity) implements Comparable<Ratio> {

    /** No work. */
    public static final Ratio ZERO = new Ratio(BigInteger.ZERO, BigInteger.ONE);

    /** Reduces the fraction. */
    public Ratio {
        if (capacity.signum() <= 0 || work.signum() < 0) {
            throw new IllegalArgumentException(work + " / " + capacity);
        }
        BigInteger common = work.gcd(capacity);
        work = work.divide(common);
        capacity = capacity.divide(common);
    }

    @Override
    public int compareTo(Ratio other) {
        return work.multiply(other.capacity).compareTo(other.work.multiply(capacity));
    }

    /** Whether there is more work than capacity. */
    public boolean aboveOne() {
        return work.compareTo(capacity) > 0;
    }

    /** The nearest floating-point number. */
    public double value() {
        return work.doubleValue() / capacity.doubleValue();
    }
}
