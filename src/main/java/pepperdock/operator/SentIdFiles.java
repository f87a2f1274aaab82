package pepperdock.operator;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import pepperdock.core.Gatherer;

/**
 * Files in which the processes of a gatherer tell each other the ids of the queries that they have sent. Each process
 * maps its own file, which it alone writes, and those of the others. A file stays when its process ends: the next one
 * with that slot goes on with it. Used on one thread, which may block on the disk.
 */
final class SentIdFiles {

    private static final String PREFIX = "sent-ids.";
    private static final int BYTES = Gatherer.SENT_IDS_BUFFER_LONGS * Long.BYTES;

    private final Path folder;
    private final Set<Integer> mappedSlots = new HashSet<>();

    /** Uses the files in a folder, which must exist. */
    SentIdFiles(Path folder) {
        this.folder = folder;
    }

    /** Maps the file of this process, and creates it if there is none; null if it is mapped already. */
    LongBuffer mapOwn(int slot) throws IOException {
        if (!mappedSlots.add(slot)) {
            return null;
        }
        try (FileChannel channel = FileChannel.open(
                file(slot), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            // Written and not left sparse: a write to mapped memory that the disk has no room for would end the
            // process.
            ByteBuffer zeros = ByteBuffer.allocate(BYTES - (int) Math.min(BYTES, channel.size()));
            while (zeros.hasRemaining()) {
                channel.write(zeros, channel.size());
            }
            return map(channel, FileChannel.MapMode.READ_WRITE);
        } catch (IOException e) {
            mappedSlots.remove(slot);
            throw e;
        }
    }

    /** Maps the files of other processes that are set up and not mapped yet. */
    List<LongBuffer> mapOthers() throws IOException {
        List<LongBuffer> mapped = new ArrayList<>();
        for (int slot = 0; slot < ProcessLocks.SLOTS; slot++) {
            if (!mappedSlots.contains(slot) && Files.exists(file(slot))) {
                try (FileChannel channel = FileChannel.open(file(slot), StandardOpenOption.READ)) {
                    LongBuffer buffer = channel.size() < BYTES ? null : map(channel, FileChannel.MapMode.READ_ONLY);
                    // The first long is written last when a file is set up.
                    if (buffer != null && buffer.get(0) != 0) {
                        mapped.add(buffer);
                        mappedSlots.add(slot);
                    }
                }
            }
        }
        return mapped;
    }

    private static LongBuffer map(FileChannel channel, FileChannel.MapMode mode) throws IOException {
        return channel.map(mode, 0, BYTES).order(ByteOrder.nativeOrder()).asLongBuffer();
    }

    private Path file(int slot) {
        return folder.resolve(PREFIX + slot);
    }
}
