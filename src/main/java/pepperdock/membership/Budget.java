package pepperdock.membership;

/**
 * What a member may send: a token bucket of datagrams and one of bytes, filled at the settings' rates and as deep as half a
 * second of them, so that no second has more than one and a half times the rate. Priority is kept by floors: a use takes only
 * what lies above its floor, so what goes before it always finds the rest. Uses that could take all that gossip is to have
 * are held to a share of the rate beside.
 */
final class Budget {

    /** What is sent, each with its floor, a part of a full bucket, and its share of the rate at most. */
    enum Use {
        /** Answers to probes, and what came of a probe for another. */
        ANSWER(0, 1),
        PROBE(0.1, 1),
        /** Asking others to probe, and probing for others. */
        INDIRECT(0.2, 0.2),
        /** Messages of exchanges, on streams. */
        EXCHANGE(0.15, 0.35),
        /** Answers to those who are new. */
        WELCOME(0.3, 0.4),
        /** Gossip that rides on probes and answers. */
        GOSSIP(0.6, 1);

        private final double floor;
        private final double share;

        Use(double floor, double share) {
            this.floor = floor;
            this.share = share;
        }
    }

    /** Seconds of the rate that a bucket holds. */
    private static final double DEPTH_S = 0.5;

    /** Seconds of its share that a use can save up. */
    private static final double SHARE_DEPTH_S = 1;

    private final double datagramsPerS;
    private final double bytesPerS;
    private double datagrams;
    private double bytes;
    private final double[] shares = new double[Use.values().length];
    private double filledAt;
    private long sentDatagrams;
    private long sentBytes;
    private long withheld;

    Budget(Settings settings, double now) {
        datagramsPerS = settings.datagramsPerS();
        bytesPerS = settings.bytesPerS();
        filledAt = now;
        datagrams = DEPTH_S * datagramsPerS;
        bytes = DEPTH_S * bytesPerS;
        for (Use use : Use.values()) {
            shares[use.ordinal()] = SHARE_DEPTH_S * use.share * bytesPerS;
        }
    }

    /** Adds what the time since the last call gives. */
    void fill(double now) {
        double passed = Math.max(0, now - filledAt);
        filledAt = now;
        datagrams = Math.min(DEPTH_S * datagramsPerS, datagrams + passed * datagramsPerS);
        bytes = Math.min(DEPTH_S * bytesPerS, bytes + passed * bytesPerS);
        for (Use use : Use.values()) {
            double rate = use.share * bytesPerS;
            shares[use.ordinal()] = Math.min(SHARE_DEPTH_S * rate, shares[use.ordinal()] + passed * rate);
        }
    }

    /** Bytes that this use may take now. */
    int room(Use use) {
        double above = bytes - use.floor * DEPTH_S * bytesPerS;
        return (int) Math.max(0, use.share < 1 ? Math.min(above, shares[use.ordinal()]) : above);
    }

    /** Takes one datagram of so many bytes, headers included; false, and counted, where the budget has no room for it. */
    boolean datagram(Use use, int size) {
        if (datagrams < 1 + use.floor * DEPTH_S * datagramsPerS || room(use) < size) {
            withheld++;
            return false;
        }
        datagrams--;
        sentDatagrams++;
        spend(use, size);
        return true;
    }

    /** Takes bytes sent on a stream, which the caller has cut to {@link #room}. */
    void stream(int size) {
        spend(Use.EXCHANGE, size);
    }

    private void spend(Use use, int size) {
        bytes -= size;
        shares[use.ordinal()] -= size;
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
