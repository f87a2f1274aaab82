package pepperdock.operator;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Objects;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.ConfigReader;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.EndpointListJson;
import pepperdock.core.EndpointListSnapshot;

/**
 * The newest endpoint list that any process of this gatherer has received, in a file that its processes share. Used on
 * one thread, which may block on the disk.
 */
final class EndpointListFile {

    private static final int FORMAT_VERSION = 1;
    private static final String NAME = "endpoints";
    private static final String FORMAT_VERSION_KEY = "version";
    private static final String SOURCE_KEY = "source";
    private static final String REVISION_KEY = "revision";
    private static final String LIST_KEY = "list";
    /** More than the largest list that discovery may send. */
    private static final long MAX_BYTES = 4 << 20;

    /** Identifies a content of the file, which is replaced as a whole. */
    private record Stamp(FileTime modified, long size, Object fileKey) {}

    /** A content of the file; {@code revision} counts the contents. */
    private record Content(long revision, EndpointListSnapshot list) {}

    private final StateFile file;
    private final DeploymentSettings settings;
    private Stamp lastStamp;
    /** The revision last read or written by this process. */
    private long lastRevision;

    /** Uses the file in a folder, which must exist; {@code settings} name the zones and kinds of the entries. */
    EndpointListFile(Path folder, DeploymentSettings settings) {
        file = new StateFile(folder, NAME);
        this.settings = settings;
    }

    /**
     * Writes a list unless the file has the same or a newer version from the same source.
     *
     * @param replacesNewer whether the list replaces a newer version too, because its source counts from the start again
     */
    void publish(EndpointListSnapshot list, boolean replacesNewer) throws IOException {
        file.changeExclusively(() -> {
            Content current = readContent();
            boolean upToDate = current != null
                    && current.list().source().equals(list.source())
                    && current.list().version() >= list.version()
                    && !replacesNewer;
            if (!upToDate) {
                long revision = (current == null ? lastRevision : current.revision()) + 1;
                file.replace(format(revision, list), false);
                lastRevision = revision;
                lastStamp = stamp();
            }
            return null;
        });
    }

    /** Returns the list if another process has written one since the last call; otherwise null. */
    EndpointListSnapshot readIfChanged() throws IOException {
        Stamp stamp = stamp();
        if (stamp == null || stamp.equals(lastStamp)) {
            return null;
        }
        Content content = readContent();
        lastStamp = stamp;
        if (content == null || content.revision() == lastRevision) {
            return null;
        }
        lastRevision = content.revision();
        return content.list();
    }

    private Stamp stamp() throws IOException {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file.path(), BasicFileAttributes.class);
            return new Stamp(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    /** Returns the content; null if there is no file, or none that can be used, which the next list replaces. */
    private Content readContent() throws IOException {
        try {
            Stamp stamp = stamp();
            String text = stamp == null || stamp.size() > MAX_BYTES ? null : file.read();
            return text == null ? null : parse(text);
        } catch (ConfigException | java.nio.charset.CharacterCodingException e) {
            return null;
        }
    }

    private Content parse(String text) {
        ConfigReader keys = ConfigReader.of(NAME, Config.parse(text, NAME));
        keys.integer(FORMAT_VERSION_KEY, FORMAT_VERSION, FORMAT_VERSION);
        EndpointListJson list = EndpointListJson.read(keys.requiredObject(LIST_KEY), settings);
        return new Content(
                (long) keys.number(REVISION_KEY, 0),
                new EndpointListSnapshot(Objects.requireNonNull(keys.text(SOURCE_KEY)), list.seq(), list.hosts()));
    }

    private String format(long revision, EndpointListSnapshot list) {
        JsonObject content = new JsonObject();
        content.addProperty(FORMAT_VERSION_KEY, FORMAT_VERSION);
        content.addProperty(SOURCE_KEY, list.source());
        content.addProperty(REVISION_KEY, revision);
        content.add(LIST_KEY, EndpointListJson.toJson(list.version(), list.endpoints(), settings));
        return content.toString();
    }
}
