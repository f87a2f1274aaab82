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
 * Stores a log and a snapshot in one folder. A record consists of its length, its CRC-32 and its bytes, and is on disk
 * when the method that writes it returns. If a crash left the last record incomplete, it is truncated when the log is
 * opened again. A crash cannot damage any other record, so opening then fails with {@link LogCorruptionException}. Used
 * by one thread at a time.
 */
final class StoreLogFile implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("pepperdock.store");
    /** Bytes of a record before its content: the length and the checksum. */
    private static final int HEADER_BYTES = 8;

    private static final String LOG_FILE = "log";
    private static final String SNAPSHOT_FILE = "snapshot";
    private static final String NEW_SNAPSHOT_FILE = "snapshot.new";

    private final Path folder;
    private final FileChannel log;
    private final List<byte[]> records = new ArrayList<>();

    /** Opens or creates the log, and truncates an incomplete record at its end. */
    StoreLogFile(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        log = FileChannel.open(
                folder.resolve(LOG_FILE), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        long validEnd = readValidRecords(Files.readAllBytes(folder.resolve(LOG_FILE)), records);
        if (validEnd < log.size()) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "store log: truncated an incomplete or damaged last record of {0} bytes",
                    log.size() - validEnd);
            log.truncate(validEnd);
            log.force(true);
        }
        log.position(validEnd);
    }

    /** Returns the records that were found when the log was opened. */
    List<byte[]> recordsAtOpen() {
        return records;
    }

    /** Returns the snapshot's bytes; null if there is none. */
    byte[] snapshot() throws IOException {
        Path file = folder.resolve(SNAPSHOT_FILE);
        if (!Files.exists(file)) {
            return null;
        }
        List<byte[]> found = new ArrayList<>();
        byte[] bytes = Files.readAllBytes(file);
        if (readValidRecords(bytes, found) != bytes.length || found.size() != 1) {
            throw LogCorruptionException.damagedSnapshot();
        }
        return found.get(0);
    }

    /** Appends a record. It is on disk when this returns. */
    void append(byte[] record) throws IOException {
        write(log, record);
        log.force(false);
    }

    /**
     * Replaces the snapshot and all records by a new snapshot. Opening the folder later finds either the old state or
     * the new snapshot.
     */
    void replaceBySnapshot(byte[] snapshot) throws IOException {
        Path newSnapshot = folder.resolve(NEW_SNAPSHOT_FILE);
        try (FileChannel file = FileChannel.open(
                newSnapshot,
                StandardOpenOption.CREATE,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            write(file, snapshot);
            file.force(true);
        }
        Files.move(
                newSnapshot,
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
     * Collects the records with a valid checksum and returns the offset at which they end.
     *
     * @throws LogCorruptionException if a damaged record is followed by more bytes
     */
    static long readValidRecords(byte[] bytes, List<byte[]> found) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.remaining() >= HEADER_BYTES) {
            int start = buffer.position();
            int length = buffer.getInt();
            int expectedChecksum = buffer.getInt();
            if (length < 0 || length > buffer.remaining()) {
                return start;
            }
            byte[] record = new byte[length];
            buffer.get(record);
            if (checksum(record) != expectedChecksum) {
                if (buffer.hasRemaining()) {
                    throw LogCorruptionException.damagedRecord(start);
                }
                return start;
            }
            found.add(record);
        }
        return buffer.position();
    }

    private static int checksum(byte[] record) {
        CRC32 crc = new CRC32();
        crc.update(record);
        return (int) crc.getValue();
    }
}
