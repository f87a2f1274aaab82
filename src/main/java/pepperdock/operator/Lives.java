package pepperdock.operator;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Tells whether another process of this gatherer lives: each holds the lock of a file of its own for as long as it lives, and
 * the system lets go of it whatever end it comes to. A lock belongs to the process, and is gone with the first of its
 * descriptors that is closed: the own file is never opened again.
 */
final class Lives implements AutoCloseable {

    /** An upgrade has two processes, and one begun before the last has ended three. */
    private static final int PLACES = 4;

    private final Path folder;
    private int place = -1;
    private FileChannel own;

    Lives(Path folder) throws IOException {
        this.folder = folder;
        for (int i = 0; i < PLACES && place < 0; i++) {
            FileChannel c = FileChannel.open(at(i), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            if (c.tryLock() != null) {
                own = c;
                place = i;
            } else {
                c.close();
            }
        }
    }

    private Path at(int i) {
        return folder.resolve("life." + i);
    }

    boolean another() throws IOException {
        for (int i = 0; i < PLACES; i++) {
            if (i != place && Files.exists(at(i))) {
                try (FileChannel c = FileChannel.open(at(i), StandardOpenOption.WRITE)) {
                    FileLock free = c.tryLock();
                    if (free == null) {
                        return true;
                    }
                    free.release();
                }
            }
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        if (own != null) {
            own.close();
        }
    }
}
