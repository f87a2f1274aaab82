package pepperdock.aggregator;

import java.util.List;

/**
 * The interface between a root node (an aggregator, or mixer) and the module that decides for it.
 *
 * <p>The mixer makes one {@link Events} object per instance with {@link #create}, feeds it what happens, in
 * order, and carries out the {@link Actions} called back. One thread at a time may use an instance; the module
 * starts none, does no I/O and reads no clock: {@link Events#batch} states the time. All times are seconds with
 * fractions, on a clock that only advances. Lists and arrays handed over may be kept and must not change.
 */
public interface Aggregator {

    /** Makes an instance; {@code seed} is its only source of randomness, {@code actions} is called on its behalf. */
    static Events create(Settings settings, long seed, Actions actions) {
        return new Decide(settings, seed, actions);
    }

    /** May a part be repeated: always, only within a time as its key is recognised, or not at all. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** How an attempt or a probe ended. */
    enum Outcome {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        RESET,
        CANCELLED,
        MOOT;

        /** True when this outcome proves that the attempt never ran. */
        public boolean neverRan() {
            return this == FULL || this == CONNECT_FAILED || this == MOOT;
        }
    }

    /** What a list event carries: changes, the complete list, the list as last held, or a failed call. */
    enum ListKind {
        CHANGES,
        COMPLETE,
        HELD,
        FAILED
    }

    /** State of a listed searcher. */
    enum Readiness {
        HEALTHY,
        DRAINING,
        REMOVED
    }

    /**
     * One class of query.
     *
     * @param aimS an answer within this time of the client's first try earns its full worth
     * @param deadlineS how long the client waits in all, over all its tries
     * @param lateWorth share of the worth that an answer after the aim earns
     * @param floor least share of parts' weight an answer may be given from
     * @param need share of the weight that makes a whole answer
     * @param partialWorth what an answer that is not whole earns, times its share
     * @param secondStep parts that follow the first answer; 0 when the class has one step
     * @param windowS for keyed parts: how long repeats are recognised, from the first attempt
     */
    record QueryClass(
            double aimS,
            double deadlineS,
            double worth,
            double lateWorth,
            Effect effect,
            double windowS,
            double floor,
            double need,
            double partialWorth,
            int secondStep) {}

    /**
     * Who holds a shard: the searchers of cells {@code (shard + j) mod cells}, j from 0 to {@code span - 1};
     * {@code batch} parts sent together to one searcher share a call.
     */
    record Layout(int shards, int cells, int span, int batch) {}

    /** What the site allows; {@code maxPauseS} is the longest pause a client observes, 0 where none is told. */
    record Limits(boolean cancel, boolean duplicate, boolean probe, int maxAttempts, int mostHeld, double maxPauseS) {}

    /**
     * Figures of the rules. {@code budgetSpanS} is 0 where further attempts have no budget; {@code askWithinS} is 0
     * where lists come unasked.
     */
    record Rules(
            double answerSlackS,
            double drainGraceS,
            double coldFrom,
            double warmUpS,
            double fallMultiple,
            double fallS,
            double budgetFree,
            double budgetShare,
            double budgetSpanS,
            double askWithinS) {

        /** The protocol's: whatever a call missed counts as told so long after the list could be reached. */
        private static final double TOLD_S = 6;

        /** How long an instance without a watch may hold an old list, in seconds: by the protocol, or less by the settings. */
        double staleS() {
            return askWithinS > 0 ? Math.min(askWithinS, TOLD_S) : TOLD_S;
        }
    }

    /** The settings of one instance; {@code tenantRates} are the queries a second within share, fleet-wide. */
    record Settings(
            int instances,
            int zone,
            double tickS,
            boolean mustAsk,
            List<QueryClass> classes,
            List<Double> tenantRates,
            double overShareWorth,
            List<String> reportNames,
            Layout layout,
            Limits limits,
            Rules rules) {

        /** Rejects settings that make no sense, naming the first one found. */
        public Settings {
            check(instances >= 1, "instances");
            check(tickS > 0, "tickS");
            check(!classes.isEmpty(), "classes");
            for (QueryClass c : classes) {
                check(c.aimS > 0 && c.aimS <= c.deadlineS, "aimS");
                check(c.floor > 0 && c.floor <= c.need && c.need <= 1, "floor and need");
                check(c.secondStep >= 0, "secondStep");
                check(c.worth >= 0 && c.lateWorth >= 0 && c.partialWorth >= 0, "worth");
            }
            check(layout.shards >= 1 && layout.cells >= 1 && layout.batch >= 1, "layout");
            check(layout.span >= 1 && layout.span <= layout.cells, "span");
            check(limits.maxAttempts >= 1, "maxAttempts");
            check(rules.coldFrom > 0 && rules.coldFrom <= 1, "coldFrom");
            check(rules.warmUpS >= 0 && rules.fallS >= 0 && rules.fallMultiple > 0, "warm-up and fall figures");
            check(rules.budgetSpanS >= 0 && rules.budgetFree >= 0 && rules.budgetShare >= 0, "budget figures");
            check(rules.drainGraceS >= 0 && rules.answerSlackS >= 0 && rules.askWithinS >= 0, "rule periods");
            classes = List.copyOf(classes);
            tenantRates = List.copyOf(tenantRates);
            reportNames = List.copyOf(reportNames);
        }

        /** The same with another number of instances. */
        public Settings with(int instances) {
            return new Settings(
                    instances,
                    zone,
                    tickS,
                    mustAsk,
                    classes,
                    tenantRates,
                    overShareWorth,
                    reportNames,
                    layout,
                    limits,
                    rules);
        }

        private static void check(boolean ok, String what) {
            if (!ok) {
                throw new IllegalArgumentException("settings: " + what + " out of range");
            }
        }
    }

    /** One entry of a list; {@code bootAt} is the clock time of the last start, 0 for long ago. */
    record Listed(String searcher, int zone, int kind, int cell, Readiness readiness, double weight, double bootAt) {}

    /** What part of a shard's work is meant for a searcher, above 0; only ratios between a shard's holders count. */
    @FunctionalInterface
    interface Shares {
        double of(int shard, String searcher);
    }

    /** What happens, told in order. Ids of ended queries and parts, and unknown ids, are harmless. */
    interface Events {

        /** Opens a batch: all that follows up to {@link #endBatch} happens at {@code now}. */
        void batch(double now);

        /** A list, its changes, or word that a call for one failed (then {@code entries} is empty). */
        void targets(ListKind kind, List<Listed> entries);

        /** A query; its parts follow in the same batch. {@code remainingS}: until the client gives up this try. */
        void query(long id, int queryClass, int tenant, String key, double remainingS, long queryNo, int parts);

        /** A part of query {@code queryNo}; a later batch may bring those of a second step. */
        void part(long id, long queryNo, int shard, double weight);

        /** An attempt ended; {@code attempt} counts from 0 in order of sending; the report may be null. */
        void attemptEnd(long id, int attempt, String searcher, Outcome outcome, double spentS, double[] report);

        /** The client of query {@code id} has left. */
        void aborted(long id);

        /** Shares reckoned ahead, in use from now on; without them all holders of a shard are alike. */
        void shares(Shares planned);

        /** Other classes and limits, in use for queries from now on; the layout and the rules stay. */
        void settings(Settings now);

        /** Whether a searcher is taken for bad, and has not even been tried for as long as trials may be apart. */
        boolean avoids(String searcher);

        /** A timer set by this instance fell due. */
        void timer(String token);

        /** A probe ended; the report may be null. */
        void probed(String searcher, Outcome outcome, double spentS, double[] report);

        /** Closes the batch; decisions that want the whole batch are taken here. */
        void endBatch();
    }

    /** What the module asks of its mixer, to be carried out in the order called, without calling back. */
    interface Actions {

        /** Starts an attempt of a part, abandoned at clock time {@code until}. */
        void send(long part, String searcher, double until);

        /** Ceases to await an attempt; its end is still told. */
        void cancel(long part, int attempt);

        /** Answers from the parts that are in; the final answer, unless a second step follows. */
        void answer(long query, boolean whole);

        /** Final: refused, a repeat is harmless; the client is told to pause so long (0: no advice). */
        void refuse(long query, double pauseS);

        /** Final: failed, with no promise about effects. */
        void fail(long query);

        /** Asks a searcher how it does. */
        void probe(String searcher);

        /** Closes the idle connections to a searcher, so that the next call opens a new one. */
        void dropConnections(String searcher);

        /** Asks for {@link Events#timer} after {@code afterS}. */
        void setTimer(double afterS, String token);

        /** Asks for changes of the list from now on. */
        void subscribe();

        /** A line for the operator's log. */
        void log(String text);
    }
}
