package pepperdock.platform;

import java.util.function.BooleanSupplier;
import pepperdock.core.Clock;

/**
 * Closes a connection that has not been used for some time. One timer is pending at a time, set for the moment at which the
 * connection would have been idle for too long; a use does not touch the timer. Owned by the loop's thread.
 */
final class IdleTimeout {

    private final Clock clock;
    private final double timeoutS;
    private final Runnable onIdle;
    private final BooleanSupplier closed;
    private Clock.Timer timer;
    private double lastUsedAt;

    /** {@code onIdle} may leave the connection open; it is called again after the same time until {@code closed}. */
    IdleTimeout(Clock clock, double timeoutS, Runnable onIdle, BooleanSupplier closed) {
        this.clock = clock;
        this.timeoutS = timeoutS;
        this.onIdle = onIdle;
        this.closed = closed;
        onUse();
        schedule(timeoutS);
    }

    /** The connection is used now. */
    void onUse() {
        lastUsedAt = clock.now();
    }

    private void schedule(double delayS) {
        timer = clock.after(delayS, this::check);
    }

    private void check() {
        double leftS = lastUsedAt + timeoutS - clock.now();
        if (leftS <= 0) {
            onIdle.run();
        }
        if (!closed.getAsBoolean()) {
            schedule(leftS > 0 ? leftS : timeoutS);
        }
    }

    void cancel() {
        timer.cancel();
    }
}
