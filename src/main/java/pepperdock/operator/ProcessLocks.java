package pepperdock.operator;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Tells whether another process of this gatherer lives, and whether it serves: each holds the lock of a file of its own for as
 * long as it lives, and of a second one while it takes queries. The system lets go of
 * both whatever end it comes to. A lock belongs to the process, and is gone with the first of its descriptors that is closed:
 * the own file is never opened again.
 */
final class ProcessLocks implements AutoCloseable {

    /** An upgrade has two processes, and one begun before the last has ended three. */
    private static final int SLOTS = 4;

    private final Path folder;
    private int slot = -1;
    private FileChannel lifeLock;
    private FileChannel serviceLock;

    ProcessLocks(Path folder) throws IOException {
        this.folder = folder;
        for (int i = 0; i < SLOTS && slot < 0; i++) {
            lifeLock = tryHold("life.", i);
            if (lifeLock != null) {
                slot = i;
            }
        }
    }

    private FileChannel tryHold(String kind, int i) throws IOException {
        FileChannel c = FileChannel.open(folder.resolve(kind + i), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (c.tryLock() != null) {
            return c;
        }
        c.close();
        return null;
    }

    /** This process takes queries from now on. */
    void holdServing() throws IOException {
        serviceLock = slot < 0 ? null : tryHold("serves.", slot);
    }

    /** This process takes no new queries from now on. */
    void releaseServing() throws IOException {
        if (serviceLock != null) {
            serviceLock.close();
        }
    }

    boolean otherLives() throws IOException {
        return heldByOther("life.");
    }

    boolean otherProcessServes() throws IOException {
        return heldByOther("serves.");
    }

    private boolean heldByOther(String kind) throws IOException {
        for (int i = 0; i < SLOTS; i++) {
            Path at = folder.resolve(kind + i);
            if (i != slot && Files.exists(at)) {
                try (FileChannel c = FileChannel.open(at, StandardOpenOption.WRITE)) {
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
        if (lifeLock != null) {
            lifeLock.close();
        }
        releaseServing();
    }
}
