package pepperdock.faultinjection;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.Path;

/** A file of a {@link FaultyDisk}: each write and each sync asks first what is wrong with the disk. */
final class FaultyFileChannel extends FileChannel {
    private final FaultyDisk disk;
    private final FileChannel of;
    private final Path path;

    FaultyFileChannel(FaultyDisk disk, FileChannel of, Path path) {
        this.disk = disk;
        this.of = of;
        this.path = path;
    }

    @Override
    public int read(ByteBuffer b) throws IOException {
        return of.read(b);
    }

    @Override
    public long read(ByteBuffer[] b, int from, int count) throws IOException {
        return of.read(b, from, count);
    }

    @Override
    public int read(ByteBuffer b, long at) throws IOException {
        return of.read(b, at);
    }

    @Override
    public int write(ByteBuffer b) throws IOException {
        disk.roomFor(path);
        return of.write(b);
    }

    @Override
    public long write(ByteBuffer[] b, int from, int count) throws IOException {
        disk.roomFor(path);
        return of.write(b, from, count);
    }

    @Override
    public int write(ByteBuffer b, long at) throws IOException {
        disk.roomFor(path);
        return of.write(b, at);
    }

    @Override
    public long transferFrom(ReadableByteChannel from, long at, long count) throws IOException {
        disk.roomFor(path);
        return of.transferFrom(from, at, count);
    }

    @Override
    public long transferTo(long at, long count, WritableByteChannel to) throws IOException {
        return of.transferTo(at, count, to);
    }

    @Override
    public void force(boolean all) throws IOException {
        disk.sync(path);
        of.force(all);
    }

    @Override
    public long position() throws IOException {
        return of.position();
    }

    @Override
    public FileChannel position(long at) throws IOException {
        of.position(at);
        return this;
    }

    @Override
    public long size() throws IOException {
        return of.size();
    }

    @Override
    public FileChannel truncate(long size) throws IOException {
        of.truncate(size);
        return this;
    }

    @Override
    public MappedByteBuffer map(MapMode mode, long at, long size) throws IOException {
        return of.map(mode, at, size);
    }

    @Override
    public FileLock lock(long at, long size, boolean shared) throws IOException {
        return of.lock(at, size, shared);
    }

    @Override
    public FileLock tryLock(long at, long size, boolean shared) throws IOException {
        return of.tryLock(at, size, shared);
    }

    @Override
    protected void implCloseChannel() throws IOException {
        of.close();
    }
}
