package pepperdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.faultinjection.ChildProcessGuard;
import pepperdock.faultinjection.upgrade.GathererProcess;

/** A process that was told to end did not wait for a ban that the disk had refused, so that the next one lacked it. */
@Timeout(60)
class BanOwedAtShutdownIT {

    @TempDir
    private Path folder;

    @Test
    void processThatEndsWritesTheBanThatTheDiskRefused() throws Exception {
        Path state = Files.createDirectory(folder.resolve("state"));
        Files.writeString(
                folder.resolve("config.json"),
                "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"w\","
                        + "\"dial\":\"127.0.0.1:1\",\"block\":0,\"health\":\"in_service\"}]},\"settings\":"
                        + TestDeploymentSettings.SETTINGS + "}");
        try (ChildProcessGuard guard = new ChildProcessGuard()) {
            GathererProcess process = new GathererProcess(guard, JarProcess.SERVE_COMMAND, folder, "p", false);
            while (!process.isReady()) {
                assertTrue(process.isAlive(), process.log());
                Thread.sleep(10);
            }
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
    }
}
