package pepperdock.operator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
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
import java.util.LinkedHashSet;
import java.util.Set;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.Keys;

/**
 * The bans on disk, shared by the two processes of an upgrade: one file, replaced whole by a rename, so that whoever reads it
 * reads all or nothing of a change, and whoever is killed leaves the state before. On a thread that may wait for a disk.
 */
final class BanFile {

    private static final System.Logger LOG = System.getLogger("pepperdock.operator");
    private static final int VERSION = 1;
    /** For the other process to let go of the lock: it holds it for a write; stopped with it, it must not stop this one. */
    private static final int LOCK_TRIES = 50;

    private static final int LOCK_PAUSE_MS = 10;

    private final Path folder;
    private final Path file;

    BanFile(Path folder) {
        this.folder = folder;
        file = folder.resolve("bans.json");
    }

    /** Who is banned; nobody where there is no file. One that can't be read is put aside, named in the log, and is as none. */
    Set<String> read() throws IOException {
        try {
            return parse(Files.readString(file));
        } catch (NoSuchFileException e) {
            return Set.of();
        } catch (ConfigException | java.nio.charset.CharacterCodingException e) {
            Path aside = folder.resolve("bans.damaged");
            LOG.log(
                    System.Logger.Level.ERROR,
                    "bans not readable, kept as {0}, none in force: {1}",
                    aside,
                    e.getMessage());
            Files.move(file, aside, StandardCopyOption.REPLACE_EXISTING);
            return Set.of();
        }
    }

    /** Puts one change into the file as it is now; returns the state that is written. */
    Set<String> change(String worker, boolean out) throws IOException {
        try (FileChannel lock =
                FileChannel.open(folder.resolve("bans.lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            FileLock held = locked(lock);
            Set<String> state = new LinkedHashSet<>(read());
            boolean changes = out ? state.add(worker) : state.remove(worker);
            if (changes) {
                write(state);
            }
            if (held != null) {
                held.release();
            }
            return state;
        }
    }

    private static FileLock locked(FileChannel channel) throws IOException {
        FileLock held = channel.tryLock();
        for (int i = 0; held == null && i < LOCK_TRIES; i++) {
            try {
                Thread.sleep(LOCK_PAUSE_MS);
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
        JsonObject all = new JsonObject();
        all.addProperty("version", VERSION);
        all.add("disabled", disabled);
        Path fresh = folder.resolve("bans.new");
        try (FileChannel to = FileChannel.open(
                fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.wrap(all.toString().getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                to.write(bytes);
            }
            to.force(true);
        }
        Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE);
    }

    private static Set<String> parse(String text) {
        Keys keys = Keys.of("bans", Config.parse(text, "bans"));
        keys.only("version", "disabled");
        keys.whole("version", VERSION, VERSION);
        if (!keys.has("disabled")) {
            throw new ConfigException(keys.key("disabled"), "missing");
        }
        Set<String> state = new LinkedHashSet<>(keys.texts("disabled"));
        if (state.size() > Bans.MOST) {
            throw new ConfigException(keys.key("disabled"), "more than " + Bans.MOST);
        }
        return state;
    }
}
