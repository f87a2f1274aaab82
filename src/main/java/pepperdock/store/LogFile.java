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
 * A log and a snapshot in one folder. Each record is its length, a checksum and its bytes; what is written is on disk
 * before a method returns. A record that a crash cut short at the end is cut off when the log is opened again; damage
 * anywhere else is no crash's doing, and opening fails.
 */
final class LogFile implements AutoCloseable {

    private static final System.Logger LOG = System.getLogger("pepperdock.store");
    private static final int HEAD = 8;

    private final Path folder;
    private final FileChannel log;
    private final List<byte[]> records = new ArrayList<>();

    LogFile(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        log = FileChannel.open(
                folder.resolve("log"), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        long good = scan(Files.readAllBytes(folder.resolve("log")), records);
        if (good < log.size()) {
            LOG.log(System.Logger.Level.WARNING, "store log: torn tail of {0} bytes cut off", log.size() - good);
            log.truncate(good);
            log.force(true);
        }
        log.position(good);
    }

    /** Records found when the log was opened. */
    List<byte[]> found() {
        return records;
    }

    /** The snapshot's bytes; null where there is none. */
    byte[] snapshot() throws IOException {
        Path file = folder.resolve("snapshot");
        if (!Files.exists(file)) {
            return null;
        }
        List<byte[]> one = new ArrayList<>();
        byte[] all = Files.readAllBytes(file);
        if (scan(all, one) != all.length || one.size() != 1) {
            throw new IOException("store snapshot is damaged");
        }
        return one.get(0);
    }

    void append(byte[] record) throws IOException {
        write(log, record);
        log.force(false);
    }

    /** Puts a snapshot in place of all records so far. */
    void replace(byte[] snapshot) throws IOException {
        Path fresh = folder.resolve("snapshot.new");
        try (FileChannel file = FileChannel.open(
                fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            write(file, snapshot);
            file.force(true);
        }
        Files.move(
                fresh, folder.resolve("snapshot"), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        log.truncate(0);
        log.force(true);
    }

    @Override
    public void close() throws IOException {
        log.close();
    }

    private static void write(FileChannel to, byte[] record) throws IOException {
        ByteBuffer b = ByteBuffer.allocate(HEAD + record.length);
        b.putInt(record.length).putInt(checksum(record)).put(record).flip();
        while (b.hasRemaining()) {
            to.write(b);
        }
    }

    /** Collects sound records; returns where they end. */
    static long scan(byte[] all, List<byte[]> into) throws IOException {
        ByteBuffer b = ByteBuffer.wrap(all);
        while (b.remaining() >= HEAD) {
            int start = b.position();
            int length = b.getInt();
            int sum = b.getInt();
            if (length < 0 || length > b.remaining()) {
                return start;
            }
            byte[] record = new byte[length];
            b.get(record);
            if (checksum(record) != sum) {
                if (b.hasRemaining()) {
                    throw new IOException("store log is damaged at byte " + start);
                }
                return start;
            }
            into.add(record);
        }
        return b.position();
    }

    private static int checksum(byte[] record) {
        CRC32 sum = new CRC32();
        sum.update(record);
        return (int) sum.getValue();
    }
}
