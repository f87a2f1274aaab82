package pepperdock.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.Gatherer;
import pepperdock.platform.FrameBackend;
import pepperdock.transport.EventLoop;

@Timeout(60)
class BanServiceTest {

    @TempDir
    private Path folder;

    private final DeploymentSettings settings = TestDeploymentSettings.small();
    private final EventLoop loop = new EventLoop(10, 1 << 16);
    private final Gatherer core =
            new Gatherer(settings.scheduler(), 3, loop, new FrameBackend(loop, settings), () -> {});
    private final BlockingQueue<String> replies = new LinkedBlockingQueue<>();

    BanServiceTest() throws Exception {}

    @AfterEach
    void close() {
        loop.close();
    }

    private void setBanned(BanService bans, String worker, boolean banned) {
        loop.execute(() -> bans.setBanned(worker, banned, failure -> replies.add(String.valueOf(failure))));
    }

    /**
     * The disk refuses writes for a while. The bans are in force in this process, so the next one has to read them: they
     * are written once the disk accepts them, each by its last state.
     */
    @Test
    void bansThatCouldNotBeWrittenAreWrittenLater() throws Exception {
        BanService bans = new BanService(folder, loop, core, Runnable::run);
        Path blocker = Files.createDirectory(folder.resolve("bans.new"));
        setBanned(bans, "a", true);
        setBanned(bans, "b", true);
        setBanned(bans, "b", false);
        for (int i = 0; i < 2; i++) {
            assertTrue(replies.poll(30, TimeUnit.SECONDS).startsWith("in force, but not written down yet"));
        }
        assertEquals("null", replies.poll(30, TimeUnit.SECONDS), "nothing to write: b is not in the file");
        assertEquals(Set.of(), new BanFile(folder).read());
        Files.delete(blocker);
        while (!new BanFile(folder).read().equals(Set.of("a"))) {
            Thread.sleep(10);
        }
        setBanned(bans, "a", false);
        assertEquals("null", replies.poll(30, TimeUnit.SECONDS));
        assertEquals(Set.of(), new BanFile(folder).read());
    }
}
