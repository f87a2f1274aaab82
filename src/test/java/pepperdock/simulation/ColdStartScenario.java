package pepperdock.simulation;

/**
 * The parameters of a simulated cold start. Times are in seconds.
 *
 * @param instances instances of the scheduler, which share nothing
 * @param workers workers that serve from the start, one per cell; two neighbouring workers hold each shard
 * @param cores cores of a worker
 * @param speed speed of each core of a worker
 * @param workS mean work of a part, by class
 * @param classShare share of the queries, by class
 * @param parts parts of a query, by class
 * @param callS work of a call in addition to that of its parts
 * @param load offered work, without the cost of calls, divided by the capacity of the workers
 * @param uneven limit of the ratio between the traffic of the busiest and the least busy instance
 * @param burst traffic relative to the usual from {@link ColdFleet#BURST_AT} for {@link ColdFleet#BURST_S}
 * @param coldShare share of the workers, all neighbours, that restart cold at {@link ColdFleet#COLD_AT}
 * @param joining new workers that join cold at the same time
 * @param toldWithinS each instance learns of the cold start after its own random delay up to this
 * @param restartedShare share of the instances that are replaced by new ones at {@link ColdFleet#RESTART_AT}
 * @param lostShare share of the instances that end at the same time; the others take over their traffic
 * @param fault the injected fault
 */
record ColdStartScenario(
        int instances,
        int workers,
        int cores,
        double speed,
        double[] workS,
        double[] classShare,
        int[] parts,
        double callS,
        double load,
        double uneven,
        double burst,
        double coldShare,
        int joining,
        double toldWithinS,
        double restartedShare,
        double lostShare,
        ColdFleet.Fault fault) {

    /** Returns a copy with other traffic: load relative to the capacity, and burst relative to that load. */
    ColdStartScenario traffic(double load, double burst) {
        return new ColdStartScenario(
                instances,
                workers,
                cores,
                speed,
                workS,
                classShare,
                parts,
                callS,
                load,
                uneven,
                burst,
                coldShare,
                joining,
                toldWithinS,
                restartedShare,
                lostShare,
                fault);
    }

    /**
     * Returns a copy with that delay until instances learn of the cold start, and those shares of them replaced and
     * lost.
     */
    ColdStartScenario trouble(double toldWithinS, double restartedShare, double lostShare) {
        return new ColdStartScenario(
                instances,
                workers,
                cores,
                speed,
                workS,
                classShare,
                parts,
                callS,
                load,
                uneven,
                burst,
                coldShare,
                joining,
                toldWithinS,
                restartedShare,
                lostShare,
                fault);
    }

    /** Returns a copy with a fault. */
    ColdStartScenario with(ColdFleet.Fault fault) {
        return new ColdStartScenario(
                instances,
                workers,
                cores,
                speed,
                workS,
                classShare,
                parts,
                callS,
                load,
                uneven,
                burst,
                coldShare,
                joining,
                toldWithinS,
                restartedShare,
                lostShare,
                fault);
    }

    /** Returns a scenario with queries like the ledger's: of 36, 7 and one part, with a cost for each call. */
    static ColdStartScenario ledger(int instances, int cores) {
        double[] workS = {0.125, 0.14, 0.1};
        return scenario(instances, cores, workS, new double[] {0.4, 0.2, 0.4}, new int[] {36, 7, 1}, 0.054);
    }

    /** Returns a scenario with queries of one part and one class. */
    static ColdStartScenario single(int instances, int cores) {
        return scenario(instances, cores, new double[] {0.03}, new double[] {1}, new int[] {1}, 0);
    }

    /** Returns a scenario with queries of one part, of which one in ten is ten times as heavy. */
    static ColdStartScenario mixed(int instances, int cores) {
        return scenario(instances, cores, new double[] {0.015, 0.15}, new double[] {0.9, 0.1}, new int[] {1, 1}, 0);
    }

    private static ColdStartScenario scenario(
            int instances, int cores, double[] workS, double[] share, int[] parts, double callS) {
        return new ColdStartScenario(
                instances,
                12,
                cores,
                1,
                workS,
                share,
                parts,
                callS,
                0.5,
                9,
                1.9,
                0.34,
                3,
                2,
                0,
                0,
                ColdFleet.Fault.NONE);
    }
}
