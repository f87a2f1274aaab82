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
import pepperdock.faultinjection.overload.SlowClients;

/** Clients with short time limits got no answer in time while others sent at full speed (issue 53). */
@Timeout(120)
class LateAnswersBesideFullSpeedClientsIT {

    /** The gatherer's share of a core on the platform. */
    private static final double CPU_SHARE = 0.4;

    private static final int SOCKETS = 1024;

    @TempDir
    private Path folder;

    @ParameterizedTest
    @CsvSource({
        "MANY_FIELDS,PIPELINED,12",
        "MANY_FIELDS,CONNECTION_EACH,12",
        "REPEATED_FIELD,PIPELINED,6",
        "PADDED_FIELDS,PIPELINED,6",
        "PADDED_FIELDS,PIECES,6",
        "READINESS,PIPELINED,12",
        "READINESS,UNREAD,6",
        "NEW_CLASS_NAMES,PIPELINED,12",
        "NEW_FIELD_NAMES,PIPELINED,6",
        "MALFORMED_BODY,PIPELINED,6",
        "QUERIES,PIPELINED,12",
        "TINY_CHUNKS,PIPELINED,6",
        "NOISE,CONNECTION_EACH,12"
    })
    void ordinaryClientsAreAnsweredInTime(FloodMessage message, Pace pace, int clients) throws Exception {
        OverloadRun.Result result = OverloadRun.play(
                OverloadPlan.of(
                        CPU_SHARE,
                        SOCKETS,
                        new OverloadPlan.Phase(message, pace, clients, SlowClients.Kind.SILENT, 0, 3)),
                folder,
                TestDeploymentSettings.SETTINGS,
                List.of("sh", "deploy/start", "serve"));
        assertEquals(List.of(), result.findings(), result::toString);
        assertTrue(result.requests() > 100, result::toString);
        assertTrue(2 * result.served() > result.requests(), result::toString);
    }
}
