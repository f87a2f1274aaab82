package pepperdock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pepperdock.faultinjection.overload.OverloadPlan;
import pepperdock.faultinjection.overload.OverloadRun;
import pepperdock.faultinjection.upgrade.SmallDeployment;

/** Ordinary clients beside drawn floods and slow clients get their answers, within the memory of the platform. */
class OverloadSoakIT {

    private static final long FIRST_SEED = 1;
    private static final int SEEDS = 6;
    private static final int PARALLEL = 2;

    @TempDir
    private Path folder;

    @Test
    @Timeout(300)
    void noRuleIsBrokenBesideOtherClients() throws Exception {
        List<String> command = List.of("sh", "deploy/start", "serve");
        List<OverloadRun.Result> results = SeedSoak.play(
                FIRST_SEED,
                SEEDS,
                PARALLEL,
                folder,
                (seed, runFolder) ->
                        OverloadRun.play(OverloadPlan.draw(seed), runFolder, SmallDeployment.SETTINGS, command),
                result -> {});
        for (OverloadRun.Result result : results) {
            assertEquals(List.of(), result.findings(), result::toString);
        }
    }
}
