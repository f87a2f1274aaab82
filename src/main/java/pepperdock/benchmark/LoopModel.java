package pepperdock.benchmark;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/**
 * What latency a loop of a given cost would give, were it alone on a core: a model, not a measurement. The loop is one server
 * that takes jobs in the order in which they come: a query's sending, all parts in one go, and the taking of each answer. Queries
 * come by a Poisson process; workers take what {@link Behaviour} draws. Collections, other work and the batch's tick are left out.
 */
final class LoopModel {

    private static final long MOST_US = 60_000_000;
    /** How near the highest rate is found, as a share of itself. */
    private static final double NEAR = 0.02;

    /** An answer of a query's part that comes to the loop. */
    private record Answer(double at, int query) implements Comparable<Answer> {
        @Override
        public int compareTo(Answer other) {
            return Double.compare(at, other.at);
        }
    }

    private final int fanOut;
    private final double sendS;
    private final double answerS;
    private final Behaviour behaviour;

    /** {@code sendS} and {@code answerS} are what the loop spends for a part on its way out and on its way back. */
    LoopModel(int fanOut, double sendS, double answerS, Behaviour behaviour) {
        this.fanOut = fanOut;
        this.sendS = sendS;
        this.answerS = answerS;
        this.behaviour = behaviour;
    }

    /** Latencies, in microseconds, of so many queries at a rate. */
    Histogram latencies(double queriesPerSecond, int queries, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Histogram latency = new Histogram(MOST_US, 3);
        PriorityQueue<Answer> answers = new PriorityQueue<>();
        double[] askedAt = new double[queries];
        int[] left = new int[queries];
        double free = 0;
        double nextAt = 0;
        int asked = 0;
        while (asked < queries || !answers.isEmpty()) {
            if (asked < queries
                    && (answers.isEmpty() || nextAt <= answers.peek().at())) {
                askedAt[asked] = nextAt;
                left[asked] = fanOut;
                free = send(asked, Math.max(free, nextAt), answers);
                asked++;
                nextAt += -Math.log(1 - random.nextDouble()) / queriesPerSecond;
            } else {
                Answer answer = answers.poll();
                free = Math.max(free, answer.at()) + answerS;
                if (--left[answer.query()] == 0) {
                    double us = (free - askedAt[answer.query()]) * 1e6;
                    latency.recordValue(Math.min(MOST_US, Math.round(us)));
                }
            }
        }
        return latency;
    }

    /** Sends a query's parts, one after another; returns when the loop is free again. */
    private double send(int query, double from, PriorityQueue<Answer> pending) {
        for (int part = 0; part < fanOut; part++) {
            double sentAt = from + (part + 1) * sendS;
            pending.add(new Answer(sentAt + behaviour.takesS("q" + query + '.' + part, part), query));
        }
        return from + fanOut * sendS;
    }

    /** The highest rate, in queries a second, at which 99 of 100 latencies stay within a limit; 0 where none does. */
    double highestRate(double withinS, int queries, long seed) {
        double low = 0;
        double high = 1 / (fanOut * (sendS + answerS));
        while (high - low > NEAR * high) {
            double rate = (low + high) / 2;
            if (latencies(rate, queries, seed).getValueAtPercentile(99) <= withinS * 1e6) {
                low = rate;
            } else {
                high = rate;
            }
        }
        return low;
    }
}
