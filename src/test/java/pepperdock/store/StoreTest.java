package pepperdock.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pepperdock.codec.frame.RandomChunks;
import pepperdock.config.StoreConfig;
import pepperdock.transport.EventLoop;

class StoreTest {

    @TempDir
    Path folder;

    private final EventLoop loop = new EventLoop(100, 16 << 20);
    private final Map<String, InetSocketAddress> members = new LinkedHashMap<>();

    StoreTest() throws IOException {
        members(0);
    }

    /** All at one address: only the leader listens, and followers only dial. */
    private void members(int port) {
        for (String name : List.of("a", "b", "c")) {
            members.put(name, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        }
    }

    @AfterEach
    void close() {
        loop.close();
    }

    private <T> T on(java.util.concurrent.Callable<T> step) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(step.call());
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        });
        return done.get(30, TimeUnit.SECONDS);
    }

    private Store open(String self) throws Exception {
        Store s = on(
                () -> new Store(new StoreConfig(self, "a", Map.copyOf(members), folder.resolve(self), 0.05, 3), loop));
        if (s.address() != null) {
            members(s.address().getPort());
        }
        return s;
    }

    private CompletableFuture<Boolean> put(Store s, String key, String value) throws Exception {
        CompletableFuture<Boolean> told = new CompletableFuture<>();
        on(() -> {
            s.put(key, value, told::complete);
            return null;
        });
        return told;
    }

    private void await(Store s, String key, String value) throws Exception {
        for (int i = 0; i < 3000 && !value.equals(on(() -> s.get(key))); i++) {
            Thread.sleep(10);
        }
        assertEquals(value, on(() -> s.get(key)));
    }

    private static void end(Store s) throws IOException {
        s.close();
    }

    @Test
    void aWriteIsAcknowledgedOnceAMajorityHoldsItAndNotBefore() throws Exception {
        Store a = open("a");
        CompletableFuture<Boolean> told = put(a, "k", "v");
        assertFalse(told.isDone());
        Store b = open("b");
        assertTrue(told.get(30, TimeUnit.SECONDS));
        await(b, "k", "v");
        assertFalse(put(b, "k", "w").get(30, TimeUnit.SECONDS));
    }

    /** A follower is away for one write, and another one for all: the first gets the entry, the second a snapshot. */
    @Test
    void aFollowerCatchesUpBySequenceNumberOrSnapshot() throws Exception {
        Store a = open("a");
        Store b = open("b");
        assertTrue(put(a, "k0", "v").get(30, TimeUnit.SECONDS));
        await(b, "k0", "v");
        on(() -> {
            end(b);
            return null;
        });
        CompletableFuture<Boolean> alone = put(a, "k1", "v");
        Store b2 = open("b");
        await(b2, "k1", "v");
        assertTrue(alone.get(30, TimeUnit.SECONDS));
        for (int i = 2; i < 20; i++) {
            assertTrue(put(a, "k" + i, "v").get(30, TimeUnit.SECONDS));
        }
        Store c = open("c");
        await(c, "k19", "v");
        assertEquals("v", on(() -> c.get("k0")));
        assertEquals(20L, on(c::version));
    }

    /** The leader's process ends and starts again from its folder, while a follower goes on dialling it. */
    @Test
    void aLeaderThatStartsAgainHasAllItWroteAndFollowersComeBack() throws Exception {
        Store a = open("a");
        Store b = open("b");
        for (int i = 0; i < 10; i++) {
            assertTrue(put(a, "k" + i, "v" + i).get(30, TimeUnit.SECONDS));
        }
        assertTrue(put(a, "k3", null).get(30, TimeUnit.SECONDS));
        on(() -> {
            end(a);
            return null;
        });
        Store again = open("a");
        assertNull(on(() -> again.get("k3")));
        assertEquals("v9", on(() -> again.get("k9")));
        assertEquals(11L, on(again::version));
        assertTrue(put(again, "more", "x").get(30, TimeUnit.SECONDS));
        await(b, "more", "x");
    }

    /** A crash cuts the last record short: it was never acknowledged, and goes. A bit flips in the middle: the store must not open. */
    @Test
    void aTornTailIsCutAndDamageElsewhereIsNotPassedOver() throws Exception {
        try (Replica r = new Replica(folder, 100, true)) {
            r.append(new StoreEntry(1, "k", new byte[] {1}));
            r.append(new StoreEntry(2, "k", new byte[] {2}));
        }
        Path log = folder.resolve("log");
        Files.write(log, new byte[] {0, 0, 0, 9, 1, 2, 3}, StandardOpenOption.APPEND);
        try (Replica r = new Replica(folder, 100, true)) {
            assertEquals(2, r.seq());
            r.append(new StoreEntry(3, "k", new byte[] {3}));
        }
        try (Replica r = new Replica(folder, 100, true)) {
            assertArrayEquals(new byte[] {3}, r.get("k"));
        }
        byte[] bytes = Files.readAllBytes(log);
        bytes[10] ^= 1;
        Files.write(log, bytes);
        assertThrows(IOException.class, () -> new Replica(folder, 100, true));
    }

    @Test
    void aSingleCopyInMemoryNeedsNoPeers() throws Exception {
        Store s = on(() -> new Store(null, loop));
        assertTrue(put(s, "k", "v").get(30, TimeUnit.SECONDS));
        assertEquals("v", on(() -> s.get("k")));
    }

    /** A peer sends random bytes. They are decoded or rejected by one kind of exception, and never run out of memory. */
    @Property(seed = "51", tries = 300)
    void garbageFromAPeerIsRefusedAndNothingElse(@ForAll long seed) {
        try {
            assertTrue(StoreCodec.entries(RandomChunks.randomBytes(seed)).size() < 600);
        } catch (RuntimeException e) {
            assertEquals(IllegalArgumentException.class, e.getClass());
        }
    }
}
