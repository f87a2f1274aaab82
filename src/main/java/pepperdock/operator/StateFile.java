package pepperdock.operator;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * A small file in the state folder that the processes of a gatherer share. It is replaced by an atomic rename, so that
 * a reader sees all or nothing of a change, and a process that is killed during a write leaves the previous content.
 * Changes that depend on the content are made under a lock on a file of its own. Used on one thread, which may block on
 * the disk.
 */
final class StateFile {

    /** A change of the file. */
    interface Change<T> {
        T apply() throws IOException;
    }

    /** The other process holds the lock only during one write, so it is free within this many attempts. */
    private static final int LOCK_ATTEMPTS = 50;

    private static final int LOCK_BACKOFF_MS = 10;

    private final Path file;
    private final Path newFile;
    private final Path lockFile;
    private final Path damagedFile;

    /** Uses {@code NAME.json} and files beside it in a folder, which must exist. */
    StateFile(Path folder, String name) {
        file = folder.resolve(name + ".json");
        newFile = folder.resolve(name + ".new");
        lockFile = folder.resolve(name + ".lock");
        damagedFile = folder.resolve(name + ".damaged");
    }

    Path path() {
        return file;
    }

    /**
     * Returns the content as UTF-8 text, or null if there is no file.
     *
     * @throws java.nio.charset.CharacterCodingException if the content is not UTF-8
     */
    String read() throws IOException {
        try {
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    /** Moves a damaged file aside, for analysis; returns its new path. */
    Path moveAside() throws IOException {
        return Files.move(file, damagedFile, StandardCopyOption.REPLACE_EXISTING);
    }

    /**
     * Replaces the content.
     *
     * @param sync whether the content must be on the disk on return; if not, a crash of the machine may lose it
     */
    void replace(String content, boolean sync) throws IOException {
        try (FileChannel channel = FileChannel.open(
                newFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(content.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            if (sync) {
                channel.force(true);
            }
        }
        Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /**
     * Runs a change while no other process runs one.
     *
     * @throws IOException if the change fails, or if another process holds the lock for too long
     */
    <T> T changeExclusively(Change<T> change) throws IOException {
        try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = lock(channel)) {
            if (lock == null) {
                throw new IOException(lockFile + " is locked by another process");
            }
            return change.apply();
        }
    }

    /** Returns the lock; null if another process held it during all attempts or this thread was interrupted. */
    private static FileLock lock(FileChannel channel) throws IOException {
        FileLock lock = channel.tryLock();
        for (int attempt = 0; lock == null && attempt < LOCK_ATTEMPTS; attempt++) {
            try {
                Thread.sleep(LOCK_BACKOFF_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return null;
            }
            lock = channel.tryLock();
        }
        return lock;
    }
}
