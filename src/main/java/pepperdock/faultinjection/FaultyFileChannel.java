package pepperdock.faultinjection;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.Path;

/** A file of a {@link FaultyDisk}: each write and each sync checks the current fault of the disk first. */
final class FaultyFileChannel extends FileChannel {
    private final FaultyDisk disk;
    private final FileChannel delegate;
    private final Path path;

    FaultyFileChannel(FaultyDisk disk, FileChannel delegate, Path path) {
        this.disk = disk;
        this.delegate = delegate;
        this.path = path;
    }

    @Override
    public int read(ByteBuffer buffer) throws IOException {
        return delegate.read(buffer);
    }

    @Override
    public long read(ByteBuffer[] buffers, int from, int count) throws IOException {
        return delegate.read(buffers, from, count);
    }

    @Override
    public int read(ByteBuffer buffer, long position) throws IOException {
        return delegate.read(buffer, position);
    }

    @Override
    public int write(ByteBuffer buffer) throws IOException {
        disk.checkSpace(path);
        return delegate.write(buffer);
    }

    @Override
    public long write(ByteBuffer[] buffers, int from, int count) throws IOException {
        disk.checkSpace(path);
        return delegate.write(buffers, from, count);
    }

    @Override
    public int write(ByteBuffer buffer, long position) throws IOException {
        disk.checkSpace(path);
        return delegate.write(buffer, position);
    }

    @Override
    public long transferFrom(ReadableByteChannel from, long position, long count) throws IOException {
        disk.checkSpace(path);
        return delegate.transferFrom(from, position, count);
    }

    @Override
    public long transferTo(long position, long count, WritableByteChannel to) throws IOException {
        return delegate.transferTo(position, count, to);
    }

    @Override
    public void force(boolean all) throws IOException {
        disk.sync(path);
        delegate.force(all);
    }

    @Override
    public long position() throws IOException {
        return delegate.position();
    }

    @Override
    public FileChannel position(long position) throws IOException {
        delegate.position(position);
        return this;
    }

    @Override
    public long size() throws IOException {
        return delegate.size();
    }

    @Override
    public FileChannel truncate(long size) throws IOException {
        delegate.truncate(size);
        return this;
    }

    @Override
    public MappedByteBuffer map(MapMode mode, long position, long size) throws IOException {
        return delegate.map(mode, position, size);
    }

    @Override
    public FileLock lock(long position, long size, boolean shared) throws IOException {
        return delegate.lock(position, size, shared);
    }

    @Override
    public FileLock tryLock(long position, long size, boolean shared) throws IOException {
        return delegate.tryLock(position, size, shared);
    }

    @Override
    protected void implCloseChannel() throws IOException {
        delegate.close();
    }
}
