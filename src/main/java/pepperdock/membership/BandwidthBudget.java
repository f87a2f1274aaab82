package pepperdock.membership;

/**
 * Limits what a member sends, by a token bucket of datagrams and one of bytes. The buckets are filled at the rates in
 * the settings and hold half a second's tokens, so that no second carries more than one and a half times the rate.
 * Floors enforce priorities: a use takes only tokens above its floor, and those below it remain for uses of higher
 * priority. Uses that could leave nothing for gossip are limited to a share of the rate as well. Owned by the thread
 * that calls {@link Membership}.
 */
final class BandwidthBudget {

    /** What is sent, each with its floor, as a fraction of a full bucket, and its largest share of the rate. */
    enum Use {
        /** Acknowledgements, direct and indirect, and answers to pings meant for other members. */
        ACK(0, 1),
        /** Pings to this member's subjects. */
        PROBE(0.1, 1),
        /** Requests for indirect pings, and pings on behalf of others. */
        INDIRECT(0.2, 0.2),
        /** Messages of anti-entropy exchanges, on streams. */
        EXCHANGE(0.15, 0.35),
        /** Answers to new members. */
        JOIN_RESPONSE(0.3, 0.4),
        /** Gossip that is piggybacked on pings and acknowledgements. */
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

    /** Seconds of its share that a use can accumulate. */
    private static final double SHARE_DEPTH_S = 1;

    private final double datagramsPerS;
    private final double bytesPerS;
    private double datagramTokens;
    private double byteTokens;
    private final double[] shareTokens = new double[Use.values().length];
    private double refilledAt;
    private long sentDatagrams;
    private long sentBytes;
    private long withheldDatagrams;

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

    /** Adds the tokens for the time since the last call. */
    void refill(double now) {
        double elapsed = Math.max(0, now - refilledAt);
        refilledAt = now;
        datagramTokens = Math.min(BUCKET_DEPTH_S * datagramsPerS, datagramTokens + elapsed * datagramsPerS);
        byteTokens = Math.min(BUCKET_DEPTH_S * bytesPerS, byteTokens + elapsed * bytesPerS);
        for (Use use : Use.values()) {
            double rate = use.share * bytesPerS;
            shareTokens[use.ordinal()] = Math.min(SHARE_DEPTH_S * rate, shareTokens[use.ordinal()] + elapsed * rate);
        }
    }

    /** Returns how many bytes this use may take now. */
    int availableBytes(Use use) {
        double aboveFloor = byteTokens - use.floor * BUCKET_DEPTH_S * bytesPerS;
        return (int) Math.max(0, use.share < 1 ? Math.min(aboveFloor, shareTokens[use.ordinal()]) : aboveFloor);
    }

    /**
     * Takes the tokens for one datagram of this many bytes, headers included. Returns false, and counts the datagram as
     * withheld, if the budget has no room for it.
     */
    boolean tryAcquireDatagram(Use use, int size) {
        if (datagramTokens < 1 + use.floor * BUCKET_DEPTH_S * datagramsPerS || availableBytes(use) < size) {
            withheldDatagrams++;
            return false;
        }
        datagramTokens--;
        sentDatagrams++;
        charge(use, size);
        return true;
    }

    /** Takes the tokens for bytes sent on a stream, which the caller has limited to {@link #availableBytes}. */
    void chargeStream(int size) {
        charge(Use.EXCHANGE, size);
    }

    private void charge(Use use, int size) {
        byteTokens -= size;
        shareTokens[use.ordinal()] -= size;
        sentBytes += size;
    }

    /** Returns how many datagrams have been sent so far. */
    long sentDatagrams() {
        return sentDatagrams;
    }

    /** Returns how many bytes have been sent so far, with headers, on streams too. */
    long sentBytes() {
        return sentBytes;
    }

    /** Returns how many datagrams have been withheld so far because the budget had no room for them. */
    long withheldDatagrams() {
        return withheldDatagrams;
    }
}
