package pepperdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.faultinjection.ChildProcessGuard;
import pepperdock.faultinjection.upgrade.GathererProcess;

/** Faults of the folder that outlives a process: what was taken on is owed, and the process serves all the same. */
@Timeout(60)
class StateFolderFaultsIT {

    @TempDir
    private Path folder;

    private ChildProcessGuard guard;
    private Path state;

    @BeforeEach
    void configure() throws Exception {
        guard = new ChildProcessGuard();
        state = Files.createDirectory(folder.resolve("state"));
        Files.writeString(
                folder.resolve("config.json"),
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"w\","
                        + "\"dial\":\"127.0.0.1:1\",\"block\":0,\"health\":\"in_service\"}]},\"settings\":"
                        + TestDeploymentSettings.SETTINGS + "}");
    }

    @AfterEach
    void endProcesses() throws Exception {
        guard.close();
    }

    private GathererProcess startAndAwaitReady() throws Exception {
        GathererProcess process = new GathererProcess(guard, JarProcess.SERVE_COMMAND, folder, "p", false);
        while (!process.isReady()) {
            assertTrue(process.isAlive(), process.log());
            Thread.sleep(10);
        }
        return process;
    }

    /** A process that was told to end did not wait for a ban that the disk had refused, so that the next one lacked it. */
    @Test
    void processThatEndsWritesTheBanThatTheDiskRefused() throws Exception {
        GathererProcess process = startAndAwaitReady();
        Path blocker = Files.createDirectory(state.resolve("bans.new"));
        String reply = process.call("POST /-/workers/w/disable");
        assertTrue(reply.startsWith("HTTP/1.1 500"), reply);
        process.signal("TERM");
        // Well beyond the 0.8 s after which a process without clients ends.
        Thread.sleep(1500);
        Files.delete(blocker);
        assertTrue(process.awaitEnd(10), process.log());
        assertEquals("{\"version\":1,\"disabled\":[\"w\"]}", Files.readString(state.resolve("bans.json")));
    }

    /** A folder that could not be read at the start ended the process. */
    @Test
    void processStartsAlthoughItsStateCannotBeReadAndReadsItLater() throws Exception {
        Files.createDirectory(state.resolve("life.0"));
        Path blocker = Files.createDirectory(state.resolve("bans.json"));
        GathererProcess process = startAndAwaitReady();
        assertTrue(process.call("GET /-/metrics").contains("svc.skipped_workers=0\n"));
        Files.delete(blocker);
        Files.writeString(blocker, "{\"version\":1,\"disabled\":[\"w\"]}");
        while (!process.call("GET /-/metrics").contains("svc.skipped_workers=1\n")) {
            Thread.sleep(10);
        }
    }
}
