package pepperdock.membership;

/**
 * What a member may send: a token bucket of datagrams and one of bytes, filled at the settings' rates and as deep as half a
 * second of them, so that no second has more than one and a half times the rate. Priorities are kept by floors: a use takes only
 * what lies above its floor, so that a use of higher priority always finds the rest. Uses that could take all that gossip is to
 * have are limited to a share of the rate as well. Owned by the thread that calls {@link Membership}.
 */
final class BandwidthBudget {

    /** What is sent, each with its floor, a part of a full bucket, and its share of the rate at most. */
    enum Use {
        /** Acknowledgements, direct and indirect, and answers to pings for others. */
        ACK(0, 1),
        /** Pings to this member's subjects. */
        PROBE(0.1, 1),
        /** Asking others to ping, and pinging for others. */
        INDIRECT(0.2, 0.2),
        /** Messages of exchanges, on streams. */
        EXCHANGE(0.15, 0.35),
        /** Answers to new members. */
        JOIN_RESPONSE(0.3, 0.4),
        /** Gossip that rides on pings and acknowledgements. */
        GOSSIP(0.6, 1);

        private final double floor;
        private final double share;

        Use(double floor, double share) {
            this.floor = floor;
            this.share = share;
        }
    }

    /** Seconds of the rate that a bucket holds. */
    private static final double BUCKET_DEPTH_S = 0.5;

    /** Seconds of its share that a use can save up. */
    private static final double SHARE_DEPTH_S = 1;

    private final double datagramsPerS;
    private final double bytesPerS;
    private double datagramTokens;
    private double byteTokens;
    private final double[] shareTokens = new double[Use.values().length];
    private double refilledAt;
    private long sentDatagrams;
    private long sentBytes;
    private long withheld;

    BandwidthBudget(MembershipSettings settings, double now) {
        datagramsPerS = settings.datagramsPerS();
        bytesPerS = settings.bytesPerS();
        refilledAt = now;
        datagramTokens = BUCKET_DEPTH_S * datagramsPerS;
        byteTokens = BUCKET_DEPTH_S * bytesPerS;
        for (Use use : Use.values()) {
            shareTokens[use.ordinal()] = SHARE_DEPTH_S * use.share * bytesPerS;
        }
    }

    /** Adds what the time since the last call gives. */
    void refill(double now) {
        double passed = Math.max(0, now - refilledAt);
        refilledAt = now;
        datagramTokens = Math.min(BUCKET_DEPTH_S * datagramsPerS, datagramTokens + passed * datagramsPerS);
        byteTokens = Math.min(BUCKET_DEPTH_S * bytesPerS, byteTokens + passed * bytesPerS);
        for (Use use : Use.values()) {
            double rate = use.share * bytesPerS;
            shareTokens[use.ordinal()] = Math.min(SHARE_DEPTH_S * rate, shareTokens[use.ordinal()] + passed * rate);
        }
    }

    /** Bytes that this use may take now. */
    int availableBytes(Use use) {
        double aboveFloor = byteTokens - use.floor * BUCKET_DEPTH_S * bytesPerS;
        return (int) Math.max(0, use.share < 1 ? Math.min(aboveFloor, shareTokens[use.ordinal()]) : aboveFloor);
    }

    /** Takes one datagram of so many bytes, headers included; false, and counted, where the budget has no room for it. */
    boolean tryAcquireDatagram(Use use, int size) {
        if (datagramTokens < 1 + use.floor * BUCKET_DEPTH_S * datagramsPerS || availableBytes(use) < size) {
            withheld++;
            return false;
        }
        datagramTokens--;
        sentDatagrams++;
        charge(use, size);
        return true;
    }

    /** Takes bytes sent on a stream, which the caller has cut to {@link #availableBytes}. */
    void chargeStream(int size) {
        charge(Use.EXCHANGE, size);
    }

    private void charge(Use use, int size) {
        byteTokens -= size;
        shareTokens[use.ordinal()] -= size;
        sentBytes += size;
    }

    /** Datagrams sent, so far. */
    long sentDatagrams() {
        return sentDatagrams;
    }

    /** Bytes sent with headers, so far, on streams too. */
    long sentBytes() {
        return sentBytes;
    }

    /** Datagrams not sent for want of budget, so far. */
    long withheld() {
        return withheld;
    }
}
