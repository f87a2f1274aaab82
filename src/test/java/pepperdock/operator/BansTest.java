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

    /** Whatever is read of an older state meanwhile: what was asked holds from the moment it was asked. */
    @Test
    void whatIsAskedHoldsBeforeItIsWrittenAndWhateverIsReadMeanwhile() {
        Bans bans = new Bans();
        long a = bans.request("a", true);
        assertEquals(Set.of("a"), bans.inForce());
        bans.read(Set.of("b"));
        assertEquals(Set.of("a", "b"), bans.inForce());
        long back = bans.request("b", false);
        bans.written(a, Set.of("b", "a"));
        assertEquals(Set.of("a"), bans.inForce());
        bans.written(back, Set.of("a"));
        assertEquals(Set.of("a"), bans.inForce());
        bans.written(bans.request("c", true), null);
        assertEquals(Set.of("a", "c"), bans.inForce());
        bans.read(Set.of("a"));
        assertEquals(Set.of("a", "c"), bans.inForce(), "not written, and in force all the same");
        bans.written(bans.request("c", false), Set.of("a"));
        assertEquals(Set.of("a"), bans.inForce());
    }

    @Test
    void whatOneProcessWritesTheOtherReadsAndBothChange() throws Exception {
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

    /** Killed in the middle of a write: the new file is there half, and the old one whole. */
    @Test
    void aWriteThatWasCutOffLeavesTheStateBefore() throws Exception {
        new BanFile(folder).change("a", true);
        Files.writeString(folder.resolve("bans.new"), "{\"version\":1,\"disab");
        assertEquals(Set.of("a"), new BanFile(folder).read());
        assertEquals(Set.of("a", "b"), new BanFile(folder).change("b", true));
    }

    /** Something else has damaged the file. It must not stop the gatherer, and is kept for whoever looks into it. */
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
    void aDamagedFileIsPutAsideAndNobodyIsBanned(String text) throws Exception {
        Files.writeString(folder.resolve("bans.json"), text);
        assertEquals(Set.of(), new BanFile(folder).read());
        assertEquals(text, Files.readString(folder.resolve("bans.damaged")));
        assertEquals(Set.of("a"), new BanFile(folder).change("a", true));
    }

    /** The ban file has bytes that are no UTF-8. It is moved aside like any damaged file. */
    @Test
    void aFileThatIsNoTextIsDamagedToo() throws Exception {
        Files.write(folder.resolve("bans.json"), new byte[] {-1, -2, -3});
        assertEquals(Set.of(), new BanFile(folder).read());
        assertTrue(Files.exists(folder.resolve("bans.damaged")));
    }

    /** Another process's lock is forced by {@code UpgradeIT}; a place left behind by one that is gone is nobody's life. */
    @Test
    void whoIsAloneSeesNobody() throws Exception {
        Files.writeString(folder.resolve("life.1"), "");
        try (ProcessLocks locks = new ProcessLocks(folder)) {
            assertFalse(locks.otherLives());
        }
    }
}
