package pepperdock.operator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.Set;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.ConfigReader;

/**
 * Stores the bans on disk, shared by the two processes of an upgrade. Used on one thread, which may block on the disk.
 */
final class BanFile {

    private static final System.Logger LOG = System.getLogger("pepperdock.operator");
    private static final int VERSION = 1;
    private static final String NAME = "bans";
    private static final String VERSION_KEY = "version";
    private static final String DISABLED_KEY = "disabled";

    private final StateFile file;

    /** Uses the ban file in a folder, which must exist. */
    BanFile(Path folder) {
        file = new StateFile(folder, NAME);
    }

    /**
     * Returns the banned workers; none if there is no file. A damaged file counts as none: it is moved aside, and its
     * new path is logged.
     */
    Set<String> read() throws IOException {
        try {
            String text = file.read();
            return text == null ? Set.of() : parse(text);
        } catch (ConfigException | CharacterCodingException e) {
            Path aside = file.moveAside();
            LOG.log(
                    System.Logger.Level.ERROR,
                    "ban file is damaged, moved to {0}, no bans are in force: {1}",
                    aside,
                    e.getMessage());
            return Set.of();
        }
    }

    /**
     * Applies one change to the current content of the file.
     *
     * @return the banned workers after the change
     */
    Set<String> change(String worker, boolean banned) throws IOException {
        return file.changeExclusively(() -> {
            Set<String> state = new LinkedHashSet<>(read());
            boolean changes = banned ? state.add(worker) : state.remove(worker);
            if (changes) {
                write(state);
            }
            return state;
        });
    }

    private void write(Set<String> state) throws IOException {
        JsonArray disabled = new JsonArray();
        state.forEach(disabled::add);
        JsonObject content = new JsonObject();
        content.addProperty(VERSION_KEY, VERSION);
        content.add(DISABLED_KEY, disabled);
        file.replace(content.toString(), true);
    }

    private static Set<String> parse(String text) {
        ConfigReader keys = ConfigReader.of(NAME, Config.parse(text, NAME));
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
