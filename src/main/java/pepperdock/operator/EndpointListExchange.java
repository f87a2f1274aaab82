package pepperdock.operator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import pepperdock.config.DeploymentSettings;
import pepperdock.core.EndpointListSnapshot;

/**
 * Passes each endpoint list that one process of an upgrade receives to the other. A gatherer counts as informed once
 * discovery has told either process, so each has to act on what the other knows, and the new process starts with what
 * the old one knew. {@link #publish} is called on the loop's thread, everything else on the disk thread.
 */
final class EndpointListExchange {

    private static final System.Logger LOG = System.getLogger("pepperdock.operator");

    /** A list to write; see {@link EndpointListFile#publish}. */
    private record Publication(EndpointListSnapshot list, boolean replacesNewer) {}

    private final EndpointListFile file;
    private final Executor diskThread;
    /** The newest list that is not written yet, or null. Older ones are never needed. */
    private final AtomicReference<Publication> unwritten = new AtomicReference<>();
    /** The last list published; belongs to the loop's thread. */
    private EndpointListSnapshot lastPublished;
    /** Whether the last write failed; belongs to the disk thread. */
    private boolean writeFailing;

    EndpointListExchange(Path folder, DeploymentSettings settings, Executor diskThread) {
        file = new EndpointListFile(folder, settings);
        this.diskThread = diskThread;
    }

    /** Passes on a list that this process has received from its source, unless it is the one passed on last. */
    void publish(EndpointListSnapshot list) {
        boolean sameSource = lastPublished != null && lastPublished.source().equals(list.source());
        if (sameSource && lastPublished.version() == list.version()) {
            return;
        }
        boolean replacesNewer = sameSource && lastPublished.version() > list.version();
        lastPublished = list;
        if (unwritten.getAndSet(new Publication(list, replacesNewer)) == null) {
            diskThread.execute(this::writeUnwritten);
        }
    }

    /** Writes the newest list that is not written yet. A list that can't be written is kept for the next call. */
    void writeUnwritten() {
        Publication publication = unwritten.get();
        if (publication == null) {
            return;
        }
        try {
            file.publish(publication.list(), publication.replacesNewer());
            writeFailing = false;
            if (!unwritten.compareAndSet(publication, null)) {
                // A newer list has come in the meantime.
                diskThread.execute(this::writeUnwritten);
            }
        } catch (IOException | RuntimeException e) {
            if (!writeFailing) {
                writeFailing = true;
                LOG.log(
                        System.Logger.Level.ERROR,
                        "cannot write the endpoint list for the other process, retrying: {0}",
                        String.valueOf(e));
            }
        }
    }

    /** Returns whether a list is not written yet; may be called on any thread. */
    boolean hasUnwritten() {
        return unwritten.get() != null;
    }

    /** Returns the list if another process has written one since the last call; otherwise null. */
    EndpointListSnapshot readIfChanged() throws IOException {
        return file.readIfChanged();
    }
}
