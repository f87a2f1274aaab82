package pepperdock.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BansTest {

    @TempDir
    private Path folder;

    /** A change is in force from the moment it is requested, even if an older state is read before it is written. */
    @Test
    void requestedChangeIsInForceBeforeItIsWritten() {
        Bans bans = new Bans();
        long banA = bans.request("a", true);
        assertEquals(Set.of("a"), bans.inForce());
        bans.onRead(Set.of("b"));
        assertEquals(Set.of("a", "b"), bans.inForce());
        long liftB = bans.request("b", false);
        bans.onWritten(banA, Set.of("b", "a"));
        assertEquals(Set.of("a"), bans.inForce());
        bans.onWritten(liftB, Set.of("a"));
        assertEquals(Set.of("a"), bans.inForce());
        bans.onWritten(bans.request("c", true), null);
        assertEquals(Set.of("a", "c"), bans.inForce());
        bans.onRead(Set.of("a"));
        assertEquals(Set.of("a", "c"), bans.inForce(), "a change that could not be written is in force");
        bans.onWritten(bans.request("c", false), Set.of("a"));
        assertEquals(Set.of("a"), bans.inForce());
    }

    @Test
    void twoProcessesReadAndChangeTheSameFile() throws Exception {
        BanFile one = new BanFile(folder);
        BanFile other = new BanFile(folder);
        assertEquals(Set.of(), one.read());
        assertEquals(Set.of("a"), one.change("a", true));
        assertEquals(Set.of("a", "b"), other.change("b", true));
        assertEquals(Set.of("a", "b"), other.change("b", true));
        assertEquals(Set.of("b"), one.change("a", false));
        assertEquals(Set.of("b"), one.change("never", false));
        assertEquals(Set.of("b"), new BanFile(folder).read());
    }

    /** A process is killed during a write: the new file is incomplete and the old one complete. */
    @Test
    void interruptedWriteLeavesThePreviousState() throws Exception {
        new BanFile(folder).change("a", true);
        Files.writeString(folder.resolve("bans.new"), "{\"version\":1,\"disab");
        assertEquals(Set.of("a"), new BanFile(folder).read());
        assertEquals(Set.of("a", "b"), new BanFile(folder).change("b", true));
    }

    /** The ban file is damaged. The gatherer must still start, and the file is kept for analysis. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{\"version\":1,\"disab",
                "[]",
                "{\"version\":2,\"disabled\":[]}",
                "{\"version\":1}",
                "{\"version\":1,\"disabled\":[{}]}",
                "{\"version\":1,\"disabled\":[],\"more\":1}"
            })
    void damagedFileIsMovedAsideAndNoWorkerIsBanned(String text) throws Exception {
        Files.writeString(folder.resolve("bans.json"), text);
        assertEquals(Set.of(), new BanFile(folder).read());
        assertEquals(text, Files.readString(folder.resolve("bans.damaged")));
        assertEquals(Set.of("a"), new BanFile(folder).change("a", true));
    }

    /** The ban file has bytes that are not UTF-8. It is moved aside like any damaged file. */
    @Test
    void fileThatIsNotTextCountsAsDamaged() throws Exception {
        Files.write(folder.resolve("bans.json"), new byte[] {-1, -2, -3});
        assertEquals(Set.of(), new BanFile(folder).read());
        assertTrue(Files.exists(folder.resolve("bans.damaged")));
    }

    /**
     * A lock file left by a process that has ended does not count as another process. {@code UpgradeIT} covers real
     * ones.
     */
    @Test
    void leftoverLockFileIsNotAnotherProcess() throws Exception {
        Files.writeString(folder.resolve("life.1"), "");
        try (ProcessLocks locks = new ProcessLocks(folder)) {
            locks.acquireLivenessLock();
            assertFalse(locks.otherProcessIsAlive());
        }
    }
}
