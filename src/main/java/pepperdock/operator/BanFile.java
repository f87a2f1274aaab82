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
 * The bans on disk, shared by the two processes of an upgrade. The file is replaced by an atomic rename, so that a reader sees
 * all or nothing of a change, and a process that is killed leaves the state before. Used on one thread, which may wait for a
 * disk.
 */
final class BanFile {

    private static final System.Logger LOG = System.getLogger("pepperdock.operator");
    private static final int VERSION = 1;
    /** The other process holds the lock for one write; one that is stopped while it holds it must not stop this one. */
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

    /** In that folder, which must exist. */
    BanFile(Path folder) {
        this.folder = folder;
        file = folder.resolve(BANS_FILE);
    }

    /** The banned workers; none where there is no file. A damaged file is moved aside, named in the log, and counts as none. */
    Set<String> read() throws IOException {
        try {
            return parse(Files.readString(file));
        } catch (NoSuchFileException e) {
            return Set.of();
        } catch (ConfigException | CharacterCodingException e) {
            Path aside = folder.resolve(DAMAGED_FILE);
            LOG.log(
                    System.Logger.Level.ERROR,
                    "bans not readable, kept as {0}, none in force: {1}",
                    aside,
                    e.getMessage());
            Files.move(file, aside, StandardCopyOption.REPLACE_EXISTING);
            return Set.of();
        }
    }

    /**
     * Makes one change to the file as it is now.
     *
     * @return the banned workers since the change
     */
    Set<String> change(String worker, boolean banned) throws IOException {
        try (FileChannel lockChannel =
                FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            FileLock held = lock(lockChannel);
            Set<String> state = new LinkedHashSet<>(read());
            boolean changes = banned ? state.add(worker) : state.remove(worker);
            if (changes) {
                write(state);
            }
            if (held != null) {
                held.release();
            }
            return state;
        }
    }

    /** The lock; null where the other process has held it for all attempts, or this thread is interrupted. */
    private static FileLock lock(FileChannel channel) throws IOException {
        FileLock held = channel.tryLock();
        for (int attempt = 0; held == null && attempt < LOCK_ATTEMPTS; attempt++) {
            try {
                Thread.sleep(LOCK_BACKOFF_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return null;
            }
            held = channel.tryLock();
        }
        return held;
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
            throw new ConfigException(keys.key(DISABLED_KEY), "more than " + Bans.MAX_BANS);
        }
        return state;
    }
}
