package pepperdock.operator;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Detects whether another process of this gatherer is alive and whether it serves queries. Each process holds a lock on
 * a file of its own while it is alive, and on a second one while it accepts queries; the operating system releases both
 * however the process ends. A POSIX lock belongs to the process and is released when any descriptor of the file is
 * closed, so a process never opens its own file again. A lock that can't be taken is tried again by {@link #retry}. Used
 * on one thread at a time.
 */
final class ProcessLocks implements AutoCloseable {

    /** An upgrade has two processes, or three if it begins before the previous upgrade has ended. */
    static final int SLOTS = 4;

    private static final String LIFE_PREFIX = "life.";
    private static final String SERVING_PREFIX = "serves.";
    /** Stands for the slot of a process that has none. */
    static final int NO_SLOT = -1;

    private final Path folder;
    private int slot = NO_SLOT;
    private FileChannel livenessLock;
    private FileChannel servingLock;
    private boolean servingLockWanted;

    /** Uses the lock files in a folder, which must exist; takes no lock yet. */
    ProcessLocks(Path folder) {
        this.folder = folder;
    }

    /**
     * Takes the first free slot, unless this process has one. If there is none, other processes do not detect this one.
     */
    void acquireLivenessLock() throws IOException {
        for (int i = 0; i < SLOTS && slot < 0; i++) {
            livenessLock = tryAcquire(LIFE_PREFIX, i);
            if (livenessLock != null) {
                slot = i;
            }
        }
    }

    /** Returns the slot of this process, or {@link #NO_SLOT}. */
    int slot() {
        return slot;
    }

    /** Returns the open file with its lock held; null if another process holds the lock. */
    private FileChannel tryAcquire(String prefix, int index) throws IOException {
        FileChannel channel =
                FileChannel.open(folder.resolve(prefix + index), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (channel.tryLock() != null) {
                return channel;
            }
        } catch (IOException e) {
            channel.close();
            throw e;
        }
        channel.close();
        return null;
    }

    /** Marks that this process accepts queries from now on. */
    void acquireServingLock() throws IOException {
        servingLockWanted = true;
        if (slot >= 0 && servingLock == null) {
            servingLock = tryAcquire(SERVING_PREFIX, slot);
        }
    }

    /** Takes the locks that this process should hold and could not take before. */
    void retry() throws IOException {
        acquireLivenessLock();
        if (servingLockWanted) {
            acquireServingLock();
        }
    }

    /** Marks that this process accepts no new queries from now on. */
    void releaseServingLock() throws IOException {
        servingLockWanted = false;
        if (servingLock != null) {
            servingLock.close();
            servingLock = null;
        }
    }

    /** Returns whether another process of this gatherer is alive. */
    boolean otherProcessIsAlive() throws IOException {
        return heldByOther(LIFE_PREFIX);
    }

    /** Returns whether another process of this gatherer accepts queries. */
    boolean otherProcessServes() throws IOException {
        return heldByOther(SERVING_PREFIX);
    }

    private boolean heldByOther(String prefix) throws IOException {
        for (int i = 0; i < SLOTS; i++) {
            Path lockFile = folder.resolve(prefix + i);
            if (i != slot && Files.exists(lockFile)) {
                try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.WRITE)) {
                    FileLock acquired = channel.tryLock();
                    if (acquired == null) {
                        return true;
                    }
                    acquired.release();
                }
            }
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        if (livenessLock != null) {
            livenessLock.close();
        }
        releaseServingLock();
    }
}
