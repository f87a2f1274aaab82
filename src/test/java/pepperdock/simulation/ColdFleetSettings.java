package pepperdock.simulation;

import java.util.ArrayList;
import java.util.List;
import pepperdock.scheduler.ProtocolRules;
import pepperdock.scheduler.QueryClass;
import pepperdock.scheduler.ReplicaLayout;
import pepperdock.scheduler.RetrySafety;
import pepperdock.scheduler.SchedulerLimits;
import pepperdock.scheduler.SchedulerSettings;

/** The settings of each instance of a {@link ColdFleet}. */
final class ColdFleetSettings {

    private static final double AIM_OVER_WORK = 12;

    private ColdFleetSettings() {}

    static SchedulerSettings of(ColdDay day) {
        List<QueryClass> classes = new ArrayList<>();
        double longest = 0;
        for (double w : day.workS()) {
            longest = Math.max(longest, w + day.callS());
        }
        for (int c = 0; c < day.workS().length; c++) {
            double aim = AIM_OVER_WORK * longest;
            classes.add(new QueryClass(aim, 2 * aim, 1, 0.1, RetrySafety.IDEMPOTENT, 0, c == 0 ? 0.6 : 1, 1, 0.95, 0));
        }
        return new SchedulerSettings(
                day.fault() == ColdFleet.Fault.ALONE ? 1 : day.instances(),
                0,
                0.005,
                true,
                classes,
                List.of(),
                1,
                List.of(),
                new ReplicaLayout(ColdFleet.SHARDS_A_CELL * day.workers(), day.workers(), 2, ColdFleet.BATCH),
                new SchedulerLimits(true, true, false, 4, 10_000, 1),
                new ProtocolRules(
                        0.02,
                        0.5,
                        ColdFleet.COLD_FROM,
                        ColdFleet.WARM_UP_S,
                        ColdFleet.MULTIPLE,
                        ColdFleet.FALL_S,
                        0,
                        0,
                        0,
                        10));
    }
}
