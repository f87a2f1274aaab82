package pepperdock.membership;

/**
 * How far this member may trust its own timers: the local health of Lifeguard (LHA-Probe and LHA-Suspicion). A member that was
 * paused, or is starved of processor time, has heard nothing because it did not listen: its timeouts stretch while it goes on,
 * and after a long pause its observations count for nobody for a while. Owned by the thread that calls {@link Membership}.
 */
final class LocalHealth {

    /** Late ticks counted at most, and ticks on time that take one of them back. */
    private static final int MAX_LATE_TICKS = 8;
    /** Share of a timeout that each late tick adds. */
    private static final double STRETCH_PER_LATE_TICK = 0.25;

    private final MembershipSettings settings;
    private int lateTicks;
    private int ticksOnTime;
    private double unhealthyUntil;

    LocalHealth(MembershipSettings settings) {
        this.settings = settings;
    }

    /** Notes by how much a tick came late; whether that counts as late. */
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

    /** Whether a tick that came so late means that the whole process was paused. */
    boolean isPause(double lateBy) {
        return lateBy > settings.probeIntervalS();
    }

    /** What timeouts are multiplied by; at least 1. */
    double timeoutFactor() {
        return 1 + lateTicks * STRETCH_PER_LATE_TICK;
    }

    /** Whether a pause is too recent for this member's observations to count. */
    boolean recentlyPaused(double now) {
        return now < unhealthyUntil;
    }
}
