package pepperdock.operator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Opens a ban file that commit 9402806 wrote: four workers were banned and the ban of one of them lifted. */
class BanFileCompatibilityTest {

    private static final Path EARLIER_FILE = Path.of("src/test/resources/compatibility/bans-9402806/bans.json");

    @TempDir
    private Path folder;

    @Test
    void readsAllBansFromAFileOfAnEarlierVersion() throws Exception {
        Files.copy(EARLIER_FILE, folder.resolve("bans.json"));
        assertEquals(List.of("wörker \"2\"", "worker-3", "10.0.0.4:7001"), List.copyOf(new BanFile(folder).read()));
        assertFalse(Files.exists(folder.resolve("bans.damaged")));
    }

    /**
     * The current version writes the same bytes as the earlier version, so that a rollback to the earlier version is
     * possible.
     */
    @Test
    void sameChangesProduceTheSameBytesAsTheEarlierVersion() throws Exception {
        BanFile file = new BanFile(folder);
        file.change("worker-1", true);
        file.change("wörker \"2\"", true);
        file.change("worker-3", true);
        file.change("worker-1", false);
        file.change("10.0.0.4:7001", true);
        assertArrayEquals(Files.readAllBytes(EARLIER_FILE), Files.readAllBytes(folder.resolve("bans.json")));
    }
}
