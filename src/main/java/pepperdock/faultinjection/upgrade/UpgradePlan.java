package pepperdock.faultinjection.upgrade;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What happens in a run, drawn from a seed.
 *
 * @param crowd whether idle clients hold connections besides
 * @param clientsLeave whether some clients close their connection before the answer
 * @param steps the upgrades, in order
 */
public record UpgradePlan(long seed, boolean crowd, boolean clientsLeave, List<Step> steps) {

    /** Which process a fault kills without a warning. */
    public enum Death {
        NONE,
        OLD_PROCESS,
        NEW_PROCESS
    }

    /**
     * One upgrade. All times are seconds since the new process was started, negative before that.
     *
     * @param drainedWorker the index of the worker that drains
     * @param repeatSignals whether signals to the old process are sent several times, SIGHUP among them
     * @param diskFault a fault of the disk in the form of {@link pepperdock.faultinjection.FaultyDisk}, empty for none
     */
    public record Step(
            int drainedWorker,
            double drainAtS,
            DiscoveryStub.Fault discoveryFault,
            double discoveryFaultFromS,
            double discoveryFaultUntilS,
            Death death,
            double deathAtS,
            boolean repeatSignals,
            String diskFault,
            double diskFaultFromS,
            double diskFaultUntilS) {}

    private static final int MIN_STEPS = 2;
    private static final int MAX_STEPS = 3;
    private static final List<String> DISK_FAULTS = List.of("", "", "full", "broken", "slow 0.3");

    /** Draws a plan. */
    static UpgradePlan draw(long seed, int workers) {
        SplittableRandom random = new SplittableRandom(seed);
        boolean crowd = random.nextInt(3) == 0;
        boolean clientsLeave = random.nextBoolean();
        int count = random.nextInt(MIN_STEPS, MAX_STEPS + 1);
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            steps.add(drawStep(random, workers));
        }
        return new UpgradePlan(seed, crowd, clientsLeave, steps);
    }

    private static Step drawStep(SplittableRandom random, int workers) {
        DiscoveryStub.Fault[] faults = DiscoveryStub.Fault.values();
        double faultFromS = random.nextDouble(-0.6, 1.0);
        double diskFromS = random.nextDouble(-1.0, 3.0);
        Death death =
                random.nextInt(10) < 6 ? Death.NONE : random.nextBoolean() ? Death.OLD_PROCESS : Death.NEW_PROCESS;
        return new Step(
                random.nextInt(workers),
                random.nextDouble(-1.0, 3.0),
                faults[random.nextInt(faults.length)],
                faultFromS,
                faultFromS + random.nextDouble(1.0, 7.0),
                death,
                random.nextDouble(0.1, 4.0),
                random.nextInt(3) == 0,
                DISK_FAULTS.get(random.nextInt(DISK_FAULTS.size())),
                diskFromS,
                diskFromS + random.nextDouble(0.3, 2.0));
    }
}
