package pepperdock.benchmark;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/**
 * Models the latency of an event loop of a given cost that has a core to itself; this is a model, not a measurement.
 * The loop is a single server with a first-come, first-served queue of two kinds of jobs: sending all parts of a query
 * at once, and handling one answer. Queries arrive by a Poisson process; workers take the time that {@link
 * ServiceTimeModel} draws. Garbage collections, other work and the batch's tick are left out.
 */
final class EventLoopModel {

    private static final long MAX_LATENCY_US = 60_000_000;
    /** Relative precision at which the search for the highest rate stops. */
    private static final double RATE_PRECISION = 0.02;

    /** The answer for one part of a query, at the time when it arrives at the loop. */
    private record Answer(double at, int query) implements Comparable<Answer> {
        @Override
        public int compareTo(Answer other) {
            return Double.compare(at, other.at);
        }
    }

    private final int fanOut;
    private final double sendS;
    private final double answerS;
    private final ServiceTimeModel serviceTimes;

    /**
     * {@code sendS} and {@code answerS} are the seconds that the loop spends on sending a part and on handling its
     * answer.
     */
    EventLoopModel(int fanOut, double sendS, double answerS, ServiceTimeModel serviceTimes) {
        this.fanOut = fanOut;
        this.sendS = sendS;
        this.answerS = answerS;
        this.serviceTimes = serviceTimes;
    }

    /** Returns the latencies, in microseconds, of {@code queries} queries at a rate. */
    Histogram latencies(double queriesPerSecond, int queries, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Histogram latency = new Histogram(MAX_LATENCY_US, 3);
        PriorityQueue<Answer> answers = new PriorityQueue<>();
        double[] askedAt = new double[queries];
        int[] unanswered = new int[queries];
        double freeAt = 0;
        double nextAt = 0;
        int asked = 0;
        while (asked < queries || !answers.isEmpty()) {
            if (asked < queries
                    && (answers.isEmpty() || nextAt <= answers.peek().at())) {
                askedAt[asked] = nextAt;
                unanswered[asked] = fanOut;
                freeAt = send(asked, Math.max(freeAt, nextAt), answers);
                asked++;
                nextAt += -Math.log(1 - random.nextDouble()) / queriesPerSecond;
            } else {
                Answer answer = answers.poll();
                freeAt = Math.max(freeAt, answer.at()) + answerS;
                if (--unanswered[answer.query()] == 0) {
                    double latencyUs = (freeAt - askedAt[answer.query()]) * 1e6;
                    latency.recordValue(Math.min(MAX_LATENCY_US, Math.round(latencyUs)));
                }
            }
        }
        return latency;
    }

    /** Sends the parts of a query one after another; returns the time when the loop is free again. */
    private double send(int query, double startS, PriorityQueue<Answer> pending) {
        for (int part = 0; part < fanOut; part++) {
            double sentAt = startS + (part + 1) * sendS;
            pending.add(new Answer(sentAt + serviceTimes.serviceTimeS("q" + query + '.' + part, part), query));
        }
        return startS + fanOut * sendS;
    }

    /**
     * Returns the highest rate, in queries per second, at which the 99th percentile of latency is within the limit; 0
     * if none is.
     */
    double highestRate(double limitS, int queries, long seed) {
        double low = 0;
        double high = 1 / (fanOut * (sendS + answerS));
        while (high - low > RATE_PRECISION * high) {
            double rate = (low + high) / 2;
            if (latencies(rate, queries, seed).getValueAtPercentile(99) <= limitS * 1e6) {
                low = rate;
            } else {
                high = rate;
            }
        }
        return low;
    }
}
