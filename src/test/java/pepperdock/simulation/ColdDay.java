package pepperdock.simulation;

/**
 * What a day is drawn from. Times are in seconds.
 *
 * @param instances instances of the module, which share nothing
 * @param workers workers that serve from the start, one a cell, each shard held by two neighbouring ones
 * @param cores cores of a worker; its speed is {@code speed} a core
 * @param workS mean work of a part, by class
 * @param classShare share of the queries, by class
 * @param parts parts of a query, by class
 * @param callS work of a call beside its parts
 * @param load offered work over the capacity of the workers, calls not counted
 * @param uneven greatest share of the traffic of an instance over the least
 * @param burst traffic over the usual from {@link ColdFleet#BURST_AT} for {@link ColdFleet#BURST_S}
 * @param coldShare share of the workers, neighbours, that come back cold at {@link ColdFleet#COLD_AT}
 * @param joining new workers that join cold then
 * @param toldWithinS each instance is told of it after a time of its own up to this
 * @param restartedShare share of the instances that are replaced by new ones at {@link ColdFleet#RESTART_AT}
 * @param lostShare share of the instances that end then, and leave their traffic to the others
 * @param fault what is wrong on purpose
 */
record ColdDay(
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

    /** The same with other traffic: load over the capacity, and the burst over that. */
    ColdDay traffic(double load, double burst) {
        return new ColdDay(
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

    /** The same with instances that are told so late, and such shares of them replaced and lost. */
    ColdDay trouble(double toldWithinS, double restartedShare, double lostShare) {
        return new ColdDay(
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

    /** The same with a fault. */
    ColdDay with(ColdFleet.Fault fault) {
        return new ColdDay(
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

    /** Queries as the ledger's: 36, 7 and one part, a cost for each call. */
    static ColdDay ledger(int instances, int cores) {
        double[] workS = {0.125, 0.14, 0.1};
        return day(instances, cores, workS, new double[] {0.4, 0.2, 0.4}, new int[] {36, 7, 1}, 0.054);
    }

    /** Queries of one part and one class. */
    static ColdDay single(int instances, int cores) {
        return day(instances, cores, new double[] {0.03}, new double[] {1}, new int[] {1}, 0);
    }

    /** Queries of one part, one in ten of them ten times as heavy. */
    static ColdDay mixed(int instances, int cores) {
        return day(instances, cores, new double[] {0.015, 0.15}, new double[] {0.9, 0.1}, new int[] {1, 1}, 0);
    }

    private static ColdDay day(int instances, int cores, double[] workS, double[] share, int[] parts, double callS) {
        return new ColdDay(
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
