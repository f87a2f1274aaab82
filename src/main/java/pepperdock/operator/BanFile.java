package pepperdock.operator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashSet;
import java.util.Set;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.ConfigReader;

/**
 * Stores the bans on disk, shared by the two processes of an upgrade. The file is replaced by an atomic rename, so that
 * a reader sees all or nothing of a change, and a process that is killed during a write leaves the previous state. Used
 * on one thread, which may block on the disk.
 */
final class BanFile {

    private static final System.Logger LOG = System.getLogger("pepperdock.operator");
    private static final int VERSION = 1;
    /**
     * Maximum number of retries. The other process holds the lock only during one write; the limit prevents a suspended
     * holder from blocking this process.
     */
    private static final int LOCK_ATTEMPTS = 50;

    private static final int LOCK_BACKOFF_MS = 10;
    private static final String BANS_FILE = "bans.json";
    private static final String NEW_FILE = "bans.new";
    private static final String LOCK_FILE = "bans.lock";
    private static final String DAMAGED_FILE = "bans.damaged";
    private static final String VERSION_KEY = "version";
    private static final String DISABLED_KEY = "disabled";

    private final Path folder;
    private final Path file;

    /** Uses the ban file in a folder, which must exist. */
    BanFile(Path folder) {
        this.folder = folder;
        file = folder.resolve(BANS_FILE);
    }

    /**
     * Returns the banned workers; none if there is no file. A damaged file counts as none: it is moved aside, and its
     * new path is logged.
     */
    Set<String> read() throws IOException {
        try {
            return parse(Files.readString(file));
        } catch (NoSuchFileException e) {
            return Set.of();
        } catch (ConfigException | CharacterCodingException e) {
            Path aside = folder.resolve(DAMAGED_FILE);
            LOG.log(
                    System.Logger.Level.ERROR,
                    "ban file is damaged, moved to {0}, no bans are in force: {1}",
                    aside,
                    e.getMessage());
            Files.move(file, aside, StandardCopyOption.REPLACE_EXISTING);
            return Set.of();
        }
    }

    /**
     * Applies one change to the current content of the file.
     *
     * @return the banned workers after the change
     */
    Set<String> change(String worker, boolean banned) throws IOException {
        try (FileChannel lockChannel =
                FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            FileLock fileLock = lock(lockChannel);
            Set<String> state = new LinkedHashSet<>(read());
            boolean changes = banned ? state.add(worker) : state.remove(worker);
            if (changes) {
                write(state);
            }
            if (fileLock != null) {
                fileLock.release();
            }
            return state;
        }
    }

    /** Returns the lock; null if the other process held it during all attempts or this thread was interrupted. */
    private static FileLock lock(FileChannel channel) throws IOException {
        FileLock fileLock = channel.tryLock();
        for (int attempt = 0; fileLock == null && attempt < LOCK_ATTEMPTS; attempt++) {
            try {
                Thread.sleep(LOCK_BACKOFF_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return null;
            }
            fileLock = channel.tryLock();
        }
        return fileLock;
    }

    private void write(Set<String> state) throws IOException {
        JsonArray disabled = new JsonArray();
        state.forEach(disabled::add);
        JsonObject content = new JsonObject();
        content.addProperty(VERSION_KEY, VERSION);
        content.add(DISABLED_KEY, disabled);
        Path newFile = folder.resolve(NEW_FILE);
        try (FileChannel channel = FileChannel.open(
                newFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(content.toString().getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
        Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE);
    }

    private static Set<String> parse(String text) {
        ConfigReader keys = ConfigReader.of("bans", Config.parse(text, "bans"));
        keys.rejectUnknownKeys(VERSION_KEY, DISABLED_KEY);
        keys.integer(VERSION_KEY, VERSION, VERSION);
        if (!keys.has(DISABLED_KEY)) {
            throw new ConfigException(keys.key(DISABLED_KEY), "missing");
        }
        Set<String> state = new LinkedHashSet<>(keys.texts(DISABLED_KEY));
        if (state.size() > Bans.MAX_BANS) {
            throw new ConfigException(keys.key(DISABLED_KEY), "more than the maximum of " + Bans.MAX_BANS);
        }
        return state;
    }
}
