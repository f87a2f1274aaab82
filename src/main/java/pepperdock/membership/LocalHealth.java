package pepperdock.membership;

/**
 * Tracks how far this member can trust its own timers: the local health of Lifeguard (LHA-Probe and LHA-Suspicion). A
 * member that was paused, or is starved of processor time, may have heard nothing only because it did not read its
 * messages. Its timeouts are extended while that lasts, and after a long pause its observations are ignored by all
 * members for a while. Owned by the thread that calls {@link Membership}.
 */
final class LocalHealth {

    /** Most late ticks counted; also the number of ticks on time after which the count decreases by one. */
    private static final int MAX_LATE_TICKS = 8;
    /** Fraction by which each late tick extends a timeout. */
    private static final double EXTENSION_PER_LATE_TICK = 0.25;

    private final MembershipSettings settings;
    private int lateTicks;
    private int ticksOnTime;
    private double unhealthyUntil;

    LocalHealth(MembershipSettings settings) {
        this.settings = settings;
    }

    /** Records by how much a tick came late; returns whether it counts as late. */
    boolean onTick(double lateBy, double now) {
        if (lateBy > settings.tickS()) {
            lateTicks = Math.min(MAX_LATE_TICKS, lateTicks + 1);
            ticksOnTime = 0;
            if (isPause(lateBy)) {
                unhealthyUntil = now + settings.suspicionTimeoutS();
            }
            return true;
        }
        if (lateTicks > 0 && ++ticksOnTime >= MAX_LATE_TICKS) {
            lateTicks--;
            ticksOnTime = 0;
        }
        return false;
    }

    /** Returns whether a tick that came so late means that the whole process was paused. */
    boolean isPause(double lateBy) {
        return lateBy > settings.probeIntervalS();
    }

    /** Returns the factor that timeouts are multiplied by; at least 1. */
    double timeoutFactor() {
        return 1 + lateTicks * EXTENSION_PER_LATE_TICK;
    }

    /** Returns whether a pause is too recent for this member's observations to count. */
    boolean recentlyPaused(double now) {
        return now < unhealthyUntil;
    }
}
