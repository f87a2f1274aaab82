package pepperdock.membership;

/**
 * One observer's watch on one subject: when it is to be pinged, what its answers say, and the word that comes of it. Worse is
 * said as soon as it is so; better only after the subject has been reached without a break for a while, longer each time it
 * fell back, so that a link that comes and goes is said once.
 */
final class Probe {

    private static final int KEPT = 16;
    private static final int FALLS_MOST = 4;
    /** Of the mean of answers' times, the newest's weight. */
    private static final double NEWEST = 0.25;

    private final Settings settings;
    private final long life;
    private final double[] sentAt = new double[KEPT];
    private long seq;
    private double nextAt;
    private boolean helped = true;
    private boolean answered = true;
    private double direct;
    private double indirect = Double.NEGATIVE_INFINITY;
    private double heard;
    /** The same, whatever pauses of our own there were. */
    private double spoke = Double.NEGATIVE_INFINITY;
    /** Since when it has been reached directly without a break. */
    private double steadySince;

    private double mean;
    private boolean notThere;
    /** The sum of all that it held when it last spoke. */
    private long held;

    private Word word;
    private int falls;
    private double fellAt = Double.NEGATIVE_INFINITY;

    /** A new watch takes the subject for reached. */
    Probe(Settings settings, long life, double now, double firstAt) {
        this.settings = settings;
        this.life = life;
        nextAt = firstAt;
        direct = now;
        heard = now;
        steadySince = now;
    }

    long life() {
        return life;
    }

    boolean due(double now) {
        return now >= nextAt;
    }

    /** A ping has gone out, under the number after the last. */
    void sent(double now) {
        nextAt = Math.max(nextAt + settings.probeS(), now + settings.probeS() / 2);
        seq++;
        sentAt[(int) (seq % KEPT)] = now;
        helped = false;
        answered = false;
    }

    /** Whether it is time to ask helpers, once for a ping. */
    boolean wantsHelp(double now) {
        if (helped || answered || now - sentAt[(int) (seq % KEPT)] < settings.ackS()) {
            return false;
        }
        helped = true;
        steadySince = Double.POSITIVE_INFINITY;
        return true;
    }

    long lastSeq() {
        return seq;
    }

    void acked(long number, double now) {
        if (number > seq || number <= seq - KEPT || number <= 0) {
            return;
        }
        double took = now - sentAt[(int) (number % KEPT)];
        mean += NEWEST * (took - mean);
        answered |= number == seq;
        direct = now;
        heard(now);
        notThere = false;
        if (Double.isInfinite(steadySince)) {
            steadySince = now;
        }
    }

    void toldOf(double now) {
        indirect = now;
        notThere = false;
    }

    /** A datagram of its own came. */
    void heard(double now) {
        heard = now;
        spoke = now;
    }

    void holds(long state) {
        held = state;
    }

    long held() {
        return held;
    }

    boolean heardAfter(double then) {
        return spoke > then;
    }

    /** Someone else answers at its address. */
    void notThere() {
        notThere = true;
    }

    /** A pause of our own, or no budget for a ping: what we did not hear meanwhile says nothing of the subject. */
    void paused(double by) {
        direct += by;
        heard += by;
        indirect += by;
    }

    /** Whether a whole limit has gone by without an answer, by that stretch of it. */
    boolean silent(double now, double stretch) {
        return now - direct > settings.doubtS() * stretch;
    }

    /** What is to be said now; null where the subject is simply reached. {@code stretch} is at least 1. */
    Word word(double now, double stretch) {
        double limit = settings.doubtS() * stretch;
        Word is = notThere
                ? Word.UNREACHED
                : now - direct <= limit
                        ? mean > (word == Word.SLOW ? settings.slowS() / 2 : settings.slowS()) ? Word.SLOW : null
                        : now - indirect <= limit ? Word.INDIRECT : now - heard <= limit ? Word.DEAF : Word.UNREACHED;
        if (is == word) {
            return word;
        }
        boolean better = word != null && (is == null || is.compareTo(word) < 0);
        if (better && (is == null || is == Word.SLOW) && word != Word.SLOW && now - steadySince < calm()) {
            // Alive beyond doubt, but not yet to be called reached again.
            word = word == Word.UNREACHED ? Word.INDIRECT : word;
            return word;
        }
        if (!better && word == null && is != Word.SLOW) {
            falls = now - fellAt > 10 * settings.doubtS() ? 0 : Math.min(FALLS_MOST, falls + 1);
            fellAt = now;
        }
        word = is;
        return word;
    }

    private double calm() {
        return settings.doubtS() * (1 << falls) / 2;
    }
}
