package pepperdock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs fault injection on the built jar. */
class FaultInjectionRunIT {

    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();

    @TempDir
    Path folder;

    private Path script(String acts) throws Exception {
        Path base = Path.of("deploy/rig/store.json").toAbsolutePath();
        String all = Files.readString(base)
                .replace("../opensearch.json", base.getParent().getParent() + "/opensearch.json");
        Path file = folder.resolve("script.json");
        Files.writeString(file, all.substring(0, all.indexOf("\"script\"")) + "\"script\":[" + acts + "]}");
        return file;
    }

    private static final List<String> MEMBER = List.of(
            JAVA, "-Xmx56m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-jar", "target/pepperdock.jar", "serve");

    @Test
    void runsAFleetWithFaultsAndChecksIt() throws Exception {
        Outcome outcome = FaultInjectionRun.run(script("""
                {"await": "settled"},
                {"fault": "stop", "members": ["g3"], "for": 0.3},
                {"fault": "kill", "members": ["g2"], "for": 0.1, "folder": "empty"},
                {"fault": "cut", "from": ["g3"], "to": ["g1"], "for": 0.4, "flip_s": 0.1},
                {"at": 0.5, "fault": "term", "members": 1, "for": 0}
                """), 3L, folder.resolve("run"), MEMBER);
        assertEquals(List.of(), outcome.findings());
        List<Event> events = History.read(folder.resolve("run").resolve(FaultInjectionRun.HISTORY));
        assertEquals(5, events.stream().filter(e -> e.what().equals("ready")).count());
        assertEquals(
                5,
                events.stream().filter(e -> e.what().equals("exit")).count(),
                "each process ended, at the latest at the end of the run");
        assertTrue(Files.exists(folder.resolve("run/g1/state/snapshot")), "the store is in the folder of the member");
        assertEquals(
                outcome.findings(),
                FaultInjectionRun.check(folder.resolve("run").resolve(FaultInjectionRun.HISTORY), null)
                        .findings());
        assertTrue(Report.html(folder.resolve("run").resolve(FaultInjectionRun.HISTORY), outcome)
                .contains("\"row\":\"g3\",\"state\":\"stopped\""));
    }

    @Test
    void memberRestartsOnASlowDiskButNotOnAFullOne() throws Exception {
        Outcome outcome = FaultInjectionRun.run(script("""
                {"await": "settled"},
                {"fault": "disk", "is": "slow", "by_s": 0.01, "members": ["g1"]},
                {"fault": "kill", "members": ["g1"], "for": 0.1},
                {"await": "settled"},
                {"fault": "disk", "is": "full", "members": ["g2"]},
                {"fault": "kill", "members": ["g2"], "for": 0.1, "folder": "empty"}
                """), null, folder.resolve("run"), MEMBER);
        assertTrue(
                outcome.findings().stream().anyMatch(f -> f.contains("g2 exited unexpectedly with status")),
                outcome.findings().toString());
        assertTrue(Files.readString(folder.resolve("run/g2/log")).contains("No space left on device"));
        assertTrue(
                outcome.findings().stream().noneMatch(f -> f.contains("g1")),
                outcome.findings().toString());
    }

    @Test
    void findsAMemberThatExitsUnexpectedly() throws Exception {
        Path file = script("");
        Files.writeString(file, Files.readString(file).replace("\"leader\": \"g1\"", "\"leader\": \"nobody\""));
        Outcome outcome = FaultInjectionRun.run(file, null, folder.resolve("run"), MEMBER);
        assertTrue(
                outcome.findings().stream().anyMatch(f -> f.contains("exited unexpectedly with status 2")),
                outcome.findings().toString());
        assertFalse(outcome.passed());
    }

    @Test
    void killingTheRigEndsAllMembersIncludingAStoppedOne() throws Exception {
        Process rig = new ProcessBuilder(
                        JAVA,
                        "-jar",
                        "target/pepperdock.jar",
                        "lab",
                        "fleet",
                        script("""
                {"await": "settled"}, {"fault": "stop", "members": ["g2"]}, {"at": 600, "fault": "start"}
                """).toString(),
                        "--folder",
                        folder.resolve("run").toString())
                .redirectErrorStream(true)
                .redirectOutput(folder.resolve("out").toFile())
                .start();
        try {
            Path history = folder.resolve("run").resolve(FaultInjectionRun.HISTORY);
            List<ProcessHandle> members = List.of();
            // The guard and three members. The history shows a stop only once the rig has flushed it.
            while (members.size() < 4) {
                assertTrue(rig.isAlive(), Files.readString(folder.resolve("out")));
                Thread.sleep(20);
                members = rig.children().toList();
            }
            while (Files.notExists(history) || !Files.readString(history).contains("\"what\":\"stop\"")) {
                assertTrue(rig.isAlive(), Files.readString(folder.resolve("out")));
                Thread.sleep(20);
            }
            rig.destroyForcibly().waitFor();
            for (ProcessHandle m : members) {
                m.onExit().get(60, TimeUnit.SECONDS);
            }
        } finally {
            rig.destroyForcibly();
        }
    }
}
