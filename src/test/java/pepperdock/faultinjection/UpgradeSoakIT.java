package pepperdock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pepperdock.faultinjection.upgrade.SmallDeployment;
import pepperdock.faultinjection.upgrade.UpgradeRun;

/** Upgrades under drawn faults keep the rules on drains, answers, attempts, deadlines and starts. */
class UpgradeSoakIT {

    private static final long FIRST_SEED = 1;
    private static final int SEEDS = 6;
    private static final int PARALLEL = 3;

    @TempDir
    private Path folder;

    @Test
    @Timeout(300)
    void noRuleIsBrokenByUpgradesUnderFaults() throws Exception {
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-jar",
                "target/pepperdock.jar",
                "serve");
        List<UpgradeRun.Result> results = SeedSoak.play(
                FIRST_SEED,
                SEEDS,
                PARALLEL,
                folder,
                (seed, runFolder) -> UpgradeRun.play(seed, runFolder, SmallDeployment.SETTINGS, command),
                result -> {});
        for (UpgradeRun.Result result : results) {
            assertEquals(List.of(), result.findings(), () -> "seed " + result.seed() + ": " + result.events());
            assertTrue(result.requests() > 500, "seed " + result.seed() + ": " + result.requests() + " requests");
        }
    }
}
