package pepperdock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the hard cases of membership, shortened, on five real processes each. A run on which the machine was late is
 * repeated.
 */
class MembersIT {

    private static final int MAX_TRIES = 3;
    private static final List<String> MEMBER = List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx56m",
            "-Xss512k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-jar",
            "target/pepperdock.jar",
            "serve");

    @TempDir
    Path folder;

    private Outcome runWithRetries(String name) throws Exception {
        Outcome outcome = null;
        for (int i = 0; i < MAX_TRIES && (outcome == null || !outcome.valid()); i++) {
            outcome = FaultInjectionRun.run(
                    Path.of("deploy/rig/" + name + ".json"), null, folder.resolve(name + i), MEMBER);
        }
        return outcome;
    }

    @Test
    void hardCasesCauseNoFalseVerdictsAndAllViewsConverge() throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(3);
        try {
            List<Future<Outcome>> runs = new ArrayList<>();
            for (String name : List.of("members-hold", "members-fall", "members-twice")) {
                runs.add(pool.submit(() -> runWithRetries(name)));
            }
            for (Future<Outcome> run : runs) {
                assertEquals(List.of(), run.get().findings());
                assertTrue(run.get().valid(), "the machine was late in each of " + MAX_TRIES + " tries");
            }
        } finally {
            pool.shutdownNow();
        }
    }
}
