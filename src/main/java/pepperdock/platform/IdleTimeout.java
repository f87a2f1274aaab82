package pepperdock.platform;

import java.util.function.BooleanSupplier;
import pepperdock.core.Clock;

/**
 * Closes a connection that has not been used for some time. A single timer is pending at a time, set for the moment at
 * which the connection would have been idle for too long; using the connection does not touch the timer. Owned by the
 * loop's thread.
 */
final class IdleTimeout {

    private final Clock clock;
    private final double timeoutS;
    private final Runnable onIdle;
    private final BooleanSupplier closed;
    private Clock.Timer timer;
    private double lastUsedAt;

    /**
     * Starts the timeout. {@code onIdle} may keep the connection open; it is called again after the same time until
     * {@code closed} returns true.
     */
    IdleTimeout(Clock clock, double timeoutS, Runnable onIdle, BooleanSupplier closed) {
        this.clock = clock;
        this.timeoutS = timeoutS;
        this.onIdle = onIdle;
        this.closed = closed;
        onUse();
        schedule(timeoutS);
    }

    /** Records that the connection is used now. */
    void onUse() {
        lastUsedAt = clock.now();
    }

    private void schedule(double delayS) {
        timer = clock.after(delayS, this::check);
    }

    private void check() {
        double remainingS = lastUsedAt + timeoutS - clock.now();
        if (remainingS <= 0) {
            onIdle.run();
        }
        if (!closed.getAsBoolean()) {
            schedule(remainingS > 0 ? remainingS : timeoutS);
        }
    }

    void cancel() {
        timer.cancel();
    }
}
