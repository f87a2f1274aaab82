package pepperdock.operator;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Tells whether another process of this gatherer lives, and whether it serves: each holds the lock of a file of its own for as
 * long as it lives, and of a second one while it takes queries. The system lets go of both whatever end it comes to. A lock belongs to the process, and is gone with the first of its
 * descriptors that is closed: the own file is never opened again.
 */
final class Lives implements AutoCloseable {

    /** An upgrade has two processes, and one begun before the last has ended three. */
    private static final int PLACES = 4;

    private final Path folder;
    private int place = -1;
    private FileChannel life;
    private FileChannel service;

    Lives(Path folder) throws IOException {
        this.folder = folder;
        for (int i = 0; i < PLACES && place < 0; i++) {
            life = held("life.", i);
            if (life != null) {
                place = i;
            }
        }
    }

    private FileChannel held(String kind, int i) throws IOException {
        FileChannel c = FileChannel.open(folder.resolve(kind + i), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        if (c.tryLock() != null) {
            return c;
        }
        c.close();
        return null;
    }

    /** This process takes queries from now on. */
    void serve() throws IOException {
        service = place < 0 ? null : held("serves.", place);
    }

    /** This process takes no new queries from now on. */
    void handOver() throws IOException {
        if (service != null) {
            service.close();
        }
    }

    boolean another() throws IOException {
        return taken("life.");
    }

    boolean anotherServes() throws IOException {
        return taken("serves.");
    }

    private boolean taken(String kind) throws IOException {
        for (int i = 0; i < PLACES; i++) {
            Path at = folder.resolve(kind + i);
            if (i != place && Files.exists(at)) {
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
        if (life != null) {
            life.close();
        }
        handOver();
    }
}
