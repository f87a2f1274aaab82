package pepperdock.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Opens a store folder that commit 9402806 wrote. It has eight writes: the first six are in the snapshot, the others in
 * the log.
 */
class StoreCompatibilityTest {

    private static final Path EARLIER_FOLDER = Path.of("src/test/resources/compatibility/store-9402806");
    private static final String LOG_ID = "6654a120-ef29-49fe-bc28-a979d7a54c5f";
    private static final int SNAPSHOT_EVERY = 3;

    @TempDir
    private Path folder;

    @BeforeEach
    void copy() throws Exception {
        for (String file : List.of("log", "snapshot")) {
            Files.copy(EARLIER_FOLDER.resolve(file), folder.resolve(file));
        }
    }

    @Test
    void opensFolderOfEarlierVersionWithAllValues() throws Exception {
        try (Replica replica = new Replica(folder, SNAPSHOT_EVERY, true)) {
            assertEquals(LOG_ID, replica.logId());
            assertEquals(8, replica.seq());
            assertEquals("{\"TickS\":0.005,\"Kinds\":[\"std\"]}", text(replica, "settings"));
            assertEquals("{\"whole\":true,\"hosts\":[{\"host\":\"a\"}]}", text(replica, "nodes"));
            assertEquals("Wert ü €", text(replica, "schlüssel-€"));
            assertNull(replica.get("gone"), "removed before the snapshot");
            assertNull(replica.get("empty"), "removed after the snapshot");
            assertEquals(3, replica.snapshot().values().size());
        }
    }

    /** A follower that has the snapshot gets the two entries after it; one that has less gets a snapshot. */
    @Test
    void folderOfEarlierVersionBringsFollowersUpToDate() throws Exception {
        try (Replica replica = new Replica(folder, SNAPSHOT_EVERY, true)) {
            List<StoreEntry> after = replica.after(LOG_ID, 6);
            assertEquals(
                    List.of("7 nodes", "8 empty"),
                    after.stream().map(entry -> entry.seq() + " " + entry.key()).toList());
            assertNull(after.get(1).value());
            assertNull(replica.after(LOG_ID, 5));
        }
    }

    /**
     * Compares the files written now with those of that version byte for byte, so that the older program can be
     * restored.
     */
    @Test
    void sameWritesProduceSameBytes() throws Exception {
        Path rewrittenFolder = Files.createDirectory(folder.resolve("again"));
        try (Replica replica = new Replica(rewrittenFolder, SNAPSHOT_EVERY, false)) {
            replica.restore(new StoreCodec.Snapshot(LOG_ID, 0, Map.of()));
            append(replica, "settings", "{\"TickS\":0.005,\"Kinds\":[\"std\"]}");
            append(replica, "nodes", "{\"whole\":true,\"hosts\":[]}");
            append(replica, "gone", "x");
            append(replica, "schlüssel-€", "Wert ü €");
            append(replica, "empty", "");
            append(replica, "gone", null);
            append(replica, "nodes", "{\"whole\":true,\"hosts\":[{\"host\":\"a\"}]}");
            append(replica, "empty", null);
        }
        assertArrayEquals(
                Files.readAllBytes(EARLIER_FOLDER.resolve("snapshot")),
                Files.readAllBytes(rewrittenFolder.resolve("snapshot")));
        assertArrayEquals(
                Files.readAllBytes(EARLIER_FOLDER.resolve("log")), Files.readAllBytes(rewrittenFolder.resolve("log")));
    }

    private static void append(Replica replica, String key, String value) throws Exception {
        byte[] bytes = value == null ? null : value.getBytes(StandardCharsets.UTF_8);
        replica.append(new StoreEntry(replica.seq() + 1, key, bytes));
    }

    private static String text(Replica replica, String key) {
        return new String(replica.get(key), StandardCharsets.UTF_8);
    }
}
