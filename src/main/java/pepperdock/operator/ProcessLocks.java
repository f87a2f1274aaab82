package pepperdock.operator;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Tells whether another process of this gatherer lives, and whether it serves. Each process holds the lock of a file of its own
 * for as long as it lives, and of a second one while it takes queries; the system releases both however the process ends. A
 * POSIX lock belongs to the process, and is released with the first of its descriptors that is closed: so a process never opens
 * its own file again. Used on one thread at a time.
 */
final class ProcessLocks implements AutoCloseable {

    /** An upgrade has two processes, and three when it begins before the last one has ended. */
    private static final int SLOTS = 4;

    private static final String LIFE_PREFIX = "life.";
    private static final String SERVING_PREFIX = "serves.";
    private static final int NO_SLOT = -1;

    private final Path folder;
    private int slot = NO_SLOT;
    private FileChannel lifeLock;
    private FileChannel serviceLock;

    /** Takes the first free slot; without one, this process is not seen by others. */
    ProcessLocks(Path folder) throws IOException {
        this.folder = folder;
        for (int i = 0; i < SLOTS && slot < 0; i++) {
            lifeLock = tryHold(LIFE_PREFIX, i);
            if (lifeLock != null) {
                slot = i;
            }
        }
    }

    /** The open file with its lock; null where another process holds it. */
    private FileChannel tryHold(String prefix, int index) throws IOException {
        FileChannel channel =
                FileChannel.open(folder.resolve(prefix + index), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (channel.tryLock() != null) {
            return channel;
        }
        channel.close();
        return null;
    }

    /** This process takes queries from now on. */
    void holdServing() throws IOException {
        serviceLock = slot < 0 ? null : tryHold(SERVING_PREFIX, slot);
    }

    /** This process takes no new queries from now on. */
    void releaseServing() throws IOException {
        if (serviceLock != null) {
            serviceLock.close();
        }
    }

    /** Whether another process of this gatherer lives. */
    boolean otherLives() throws IOException {
        return heldByOther(LIFE_PREFIX);
    }

    /** Whether another process of this gatherer takes queries. */
    boolean otherProcessServes() throws IOException {
        return heldByOther(SERVING_PREFIX);
    }

    private boolean heldByOther(String prefix) throws IOException {
        for (int i = 0; i < SLOTS; i++) {
            Path at = folder.resolve(prefix + i);
            if (i != slot && Files.exists(at)) {
                try (FileChannel channel = FileChannel.open(at, StandardOpenOption.WRITE)) {
                    FileLock free = channel.tryLock();
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
