package pepperdock.operator;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Opens a ban file that commit 9402806 wrote: four workers banned, one of them let back. */
class BanFileCompatibilityTest {

    private static final Path WRITTEN = Path.of("src/test/resources/compatibility/bans-9402806/bans.json");

    @TempDir
    private Path folder;

    @Test
    void aFileOfAnEarlierVersionIsReadWithAllItsBans() throws Exception {
        Files.copy(WRITTEN, folder.resolve("bans.json"));
        assertEquals(List.of("wörker \"2\"", "worker-3", "10.0.0.4:7001"), List.copyOf(new BanFile(folder).read()));
        assertFalse(Files.exists(folder.resolve("bans.damaged")));
    }

    /** What is written today is, byte for byte, what that version wrote: the older program can be put back. */
    @Test
    void theSameChangesMakeTheSameBytes() throws Exception {
        BanFile file = new BanFile(folder);
        file.change("worker-1", true);
        file.change("wörker \"2\"", true);
        file.change("worker-3", true);
        file.change("worker-1", false);
        file.change("10.0.0.4:7001", true);
        assertArrayEquals(Files.readAllBytes(WRITTEN), Files.readAllBytes(folder.resolve("bans.json")));
    }
}
