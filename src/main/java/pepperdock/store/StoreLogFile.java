package pepperdock.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * A log and a snapshot in one folder. A record is its length, its CRC-32 and its bytes; what is written is on disk before a
 * method returns. A record that a crash cut short at the end is truncated when the log is opened again; damage anywhere else is
 * not a crash's doing, and opening fails with {@link LogCorruptionException}. Used by one thread at a time.
 */
final class StoreLogFile implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("pepperdock.store");
    /** Bytes of a record before its content: length and checksum. */
    private static final int HEADER_BYTES = 8;

    private static final String LOG_FILE = "log";
    private static final String SNAPSHOT_FILE = "snapshot";
    private static final String NEW_SNAPSHOT_FILE = "snapshot.new";

    private final Path folder;
    private final FileChannel log;
    private final List<byte[]> records = new ArrayList<>();

    /** Opens the log, or creates it, and truncates a torn record at its end. */
    StoreLogFile(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        log = FileChannel.open(
                folder.resolve(LOG_FILE), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        long good = scan(Files.readAllBytes(folder.resolve(LOG_FILE)), records);
        if (good < log.size()) {
            LOG.log(System.Logger.Level.WARNING, "store log: torn tail of {0} bytes cut off", log.size() - good);
            log.truncate(good);
            log.force(true);
        }
        log.position(good);
    }

    /** Records found when the log was opened. */
    List<byte[]> recordsAtOpen() {
        return records;
    }

    /** The snapshot's bytes; null where there is none. */
    byte[] snapshot() throws IOException {
        Path file = folder.resolve(SNAPSHOT_FILE);
        if (!Files.exists(file)) {
            return null;
        }
        List<byte[]> found = new ArrayList<>();
        byte[] all = Files.readAllBytes(file);
        if (scan(all, found) != all.length || found.size() != 1) {
            throw LogCorruptionException.damagedSnapshot();
        }
        return found.get(0);
    }

    /** Appends a record; it is on disk when this returns. */
    void append(byte[] record) throws IOException {
        write(log, record);
        log.force(false);
    }

    /** Replaces the snapshot and all records by a new snapshot, atomically for whoever opens the folder later. */
    void replaceBySnapshot(byte[] snapshot) throws IOException {
        Path fresh = folder.resolve(NEW_SNAPSHOT_FILE);
        try (FileChannel file = FileChannel.open(
                fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            write(file, snapshot);
            file.force(true);
        }
        Files.move(
                fresh,
                folder.resolve(SNAPSHOT_FILE),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        log.truncate(0);
        log.force(true);
    }

    @Override
    public void close() throws IOException {
        log.close();
    }

    private static void write(FileChannel to, byte[] record) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + record.length);
        buffer.putInt(record.length).putInt(checksum(record)).put(record).flip();
        while (buffer.hasRemaining()) {
            to.write(buffer);
        }
    }

    /**
     * Collects the sound records; returns where they end.
     *
     * @throws LogCorruptionException where a damaged record is followed by more bytes
     */
    static long scan(byte[] all, List<byte[]> into) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(all);
        while (buffer.remaining() >= HEADER_BYTES) {
            int start = buffer.position();
            int length = buffer.getInt();
            int sum = buffer.getInt();
            if (length < 0 || length > buffer.remaining()) {
                return start;
            }
            byte[] record = new byte[length];
            buffer.get(record);
            if (checksum(record) != sum) {
                if (buffer.hasRemaining()) {
                    throw LogCorruptionException.damagedRecord(start);
                }
                return start;
            }
            into.add(record);
        }
        return buffer.position();
    }

    private static int checksum(byte[] record) {
        CRC32 sum = new CRC32();
        sum.update(record);
        return (int) sum.getValue();
    }
}
