package pepperdock.simulation;

import java.util.ArrayList;
import java.util.List;
import pepperdock.scheduler.ProtocolRules;
import pepperdock.scheduler.QueryClass;
import pepperdock.scheduler.ReplicaLayout;
import pepperdock.scheduler.RetrySafety;
import pepperdock.scheduler.SchedulerLimits;
import pepperdock.scheduler.SchedulerSettings;

/** Creates the settings of each scheduler instance of a {@link ColdFleet}. */
final class ColdFleetSettings {

    private static final double OBJECTIVE_PER_WORK = 12;

    private ColdFleetSettings() {}

    static SchedulerSettings of(ColdStartScenario scenario) {
        List<QueryClass> classes = new ArrayList<>();
        double longestWorkS = 0;
        for (double w : scenario.workS()) {
            longestWorkS = Math.max(longestWorkS, w + scenario.callS());
        }
        for (int c = 0; c < scenario.workS().length; c++) {
            double objectiveS = OBJECTIVE_PER_WORK * longestWorkS;
            classes.add(new QueryClass(
                    objectiveS, 2 * objectiveS, 1, 0.1, RetrySafety.IDEMPOTENT, 0, c == 0 ? 0.6 : 1, 1, 0.95, 0));
        }
        return new SchedulerSettings(
                scenario.fault() == ColdFleet.Fault.SINGLE_INSTANCE ? 1 : scenario.instances(),
                0,
                0.005,
                true,
                classes,
                List.of(),
                1,
                List.of(),
                new ReplicaLayout(
                        ColdFleet.SHARDS_PER_CELL * scenario.workers(), scenario.workers(), 2, ColdFleet.BATCH),
                new SchedulerLimits(true, true, false, 4, 10_000, 1),
                new ProtocolRules(
                        0.02,
                        0.5,
                        ColdFleet.COLD_FROM,
                        ColdFleet.WARM_UP_S,
                        ColdFleet.FALL_MULTIPLE,
                        ColdFleet.FALL_S,
                        0,
                        0,
                        0,
                        10));
    }
}
