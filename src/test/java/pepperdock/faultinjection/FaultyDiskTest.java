package pepperdock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a disk that is full, broken or slow, without a member. */
class FaultyDiskTest {

    @TempDir
    Path folder;

    private FileSystem disk() {
        return new FaultyDisk(FileSystems.getDefault().provider(), folder.toString())
                .getFileSystem(URI.create("file:///"));
    }

    private void setFault(String fault) throws IOException {
        Files.writeString(folder.resolve("disk"), fault);
    }

    @Test
    void diskWithoutFaultBehavesLikeTheUnderlyingOne() throws Exception {
        Path state = disk().getPath(folder.toString(), "state");
        Files.createDirectories(state.resolve("a"));
        Files.write(state.resolve("a").resolve("x"), new byte[] {1, 2, 3});
        Files.move(state.resolve("a/x"), state.resolve("y"), StandardCopyOption.ATOMIC_MOVE);
        assertArrayEquals(new byte[] {1, 2, 3}, Files.readAllBytes(folder.resolve("state/y")));
        try (Stream<Path> all = Files.walk(state)) {
            assertEquals(3, all.peek(p -> assertTrue(p.startsWith(state))).count());
        }
        Files.delete(state.resolve("a"));
        assertEquals(
                state.resolve("y"), state.resolve("a").getParent().resolve("y").normalize());
    }

    @Test
    void fullDiskRejectsWritesBrokenDiskRejectsSyncsAndOtherFoldersAreUnaffected() throws Exception {
        Path state = Files.createDirectories(disk().getPath(folder.toString(), "state"));
        try (FileChannel file =
                FileChannel.open(state.resolve("log"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            setFault("full");
            assertThrows(IOException.class, () -> file.write(ByteBuffer.wrap(new byte[1])));
            file.force(true);
            assertThrows(IOException.class, () -> Files.writeString(state.resolve("new"), "x"));
            Files.writeString(disk().getPath(folder.toString(), "elsewhere"), "x");
            setFault("broken");
            assertEquals(1, file.write(ByteBuffer.wrap(new byte[1])));
            assertThrows(IOException.class, () -> file.force(true));
            setFault("");
            file.force(true);
            setFault("slow 0.001");
            file.force(false);
        }
        assertEquals(1, Files.size(folder.resolve("state/log")));
    }
}
