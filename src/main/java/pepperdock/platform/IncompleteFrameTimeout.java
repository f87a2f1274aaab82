package pepperdock.platform;

import pepperdock.core.Clock;

/**
 * Bounds the time in which a frame must be complete after its first byte, and the time between two of its bytes. A
 * result is written at once, so a frame that stops in the middle has a length that does not fit, or its connection is
 * dead; all frames behind it would wait. Owned by the loop's thread.
 */
final class IncompleteFrameTimeout {

    /** Multiple of the connect timeout in which a frame must be complete, however its bytes arrive. */
    private static final int TOTAL_MULTIPLE = 4;
    /** Share of the connect timeout that may pass between two bytes: long enough for a lost segment to be sent again. */
    private static final double GAP_SHARE = 0.4;
    /** The least time allowed between two bytes, in seconds, however short the connect timeout is. */
    private static final double MIN_GAP_S = 0.1;
    /** Share of the connect timeout without a further byte after which no new call should wait behind the frame. */
    private static final double STALLED_SHARE = 0.1;

    private final Clock clock;
    private final double connectTimeoutS;
    private final double maxGapS;
    private final Runnable onExpired;
    private Clock.Timer timer;
    private double firstByteAt;
    private double lastByteAt;
    private int receivedBytes;

    /**
     * Creates the timeout, which does not run before {@link #onIncompleteFrame}.
     *
     * @param connectTimeoutS the time limit of connecting to the worker, in seconds
     * @param onExpired called when a frame is overdue; it may find that more input has arrived
     */
    IncompleteFrameTimeout(Clock clock, double connectTimeoutS, Runnable onExpired) {
        this.clock = clock;
        this.connectTimeoutS = connectTimeoutS;
        maxGapS = Math.max(MIN_GAP_S, GAP_SHARE * connectTimeoutS);
        this.onExpired = onExpired;
    }

    /** Records how many bytes of the frame that is being received have arrived by now. */
    void onIncompleteFrame(int bytes) {
        if (timer == null) {
            firstByteAt = clock.now();
            receivedBytes = 0;
            timer = clock.after(maxGapS, this::check);
        }
        if (bytes > receivedBytes) {
            receivedBytes = bytes;
            lastByteAt = clock.now();
        }
    }

    /** Stops the timeout, because the frame is complete or the connection has ended. */
    void cancel() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }

    /** Returns whether a frame has been incomplete for so long that a new call should use another connection. */
    boolean isStalled() {
        return timer != null && clock.now() - lastByteAt > STALLED_SHARE * connectTimeoutS;
    }

    /** Returns whether the frame that is being received has exceeded one of its time limits. */
    boolean isExpired() {
        return timer != null && clock.now() >= expiresAt();
    }

    private double expiresAt() {
        return Math.min(lastByteAt + maxGapS, firstByteAt + TOTAL_MULTIPLE * connectTimeoutS);
    }

    private void check() {
        Clock.Timer expired = timer;
        if (isExpired()) {
            onExpired.run();
        }
        if (timer != null && timer == expired) {
            timer = clock.after(Math.max(0, expiresAt() - clock.now()), this::check);
        }
    }
}
