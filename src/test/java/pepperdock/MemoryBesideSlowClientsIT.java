package pepperdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.faultinjection.overload.FloodClient.Pace;
import pepperdock.faultinjection.overload.FloodMessage;
import pepperdock.faultinjection.overload.OverloadPlan;
import pepperdock.faultinjection.overload.OverloadRun;
import pepperdock.faultinjection.overload.SlowClients.Kind;

/** Hundreds of clients with unfinished requests took the whole heap, and nobody was answered any more (issue 53). */
@Timeout(120)
class MemoryBesideSlowClientsIT {

    /** The two processes of an upgrade together must stay within the platform's 192 MB. */
    private static final long MAX_MEMORY_MB = 96;

    @TempDir
    private Path folder;

    @ParameterizedTest
    @CsvSource({
        "SHORT_FIELDS,300,1024",
        "HALF_BODY,300,1024",
        "SLOW_BODY,300,1024",
        "HALF_BODY,1000,4096",
        "SLOW_BODY,1000,4096"
    })
    void memoryIsBoundedAndOrdinaryClientsAreAnswered(Kind kind, int clients, int sockets) throws Exception {
        OverloadRun.Result result = OverloadRun.play(
                OverloadPlan.of(
                        0.5, sockets, new OverloadPlan.Phase(FloodMessage.NOISE, Pace.PIPELINED, 0, kind, clients, 6)),
                folder,
                TestDeploymentSettings.SETTINGS,
                List.of("sh", "deploy/start", "serve"));
        assertEquals(List.of(), result.findings(), result::toString);
        assertTrue(2 * result.served() > result.requests(), result::toString);
        assertTrue(result.peakMemoryMb() <= MAX_MEMORY_MB, result::toString);
    }
}
