package pepperdock.faultinjection;

import java.io.IOException;
import java.nio.file.FileStore;
import java.nio.file.FileSystem;
import java.nio.file.Path;
import java.nio.file.PathMatcher;
import java.nio.file.WatchService;
import java.nio.file.attribute.UserPrincipalLookupService;
import java.nio.file.spi.FileSystemProvider;
import java.util.Set;
import java.util.stream.StreamSupport;

/**
 * The file system of a {@link FaultyDisk}: delegates to the underlying one, with paths that belong to the faulty disk.
 */
final class FaultyFileSystem extends FileSystem {
    private final FaultyDisk disk;
    private final FileSystem delegate;

    FaultyFileSystem(FaultyDisk disk, FileSystem delegate) {
        this.disk = disk;
        this.delegate = delegate;
    }

    @Override
    public FileSystemProvider provider() {
        return disk;
    }

    @Override
    public void close() throws IOException {
        delegate.close();
    }

    @Override
    public boolean isOpen() {
        return delegate.isOpen();
    }

    @Override
    public boolean isReadOnly() {
        return delegate.isReadOnly();
    }

    @Override
    public String getSeparator() {
        return delegate.getSeparator();
    }

    @Override
    public Iterable<Path> getRootDirectories() {
        return StreamSupport.stream(delegate.getRootDirectories().spliterator(), false)
                .map(disk::wrap)
                .toList();
    }

    @Override
    public Iterable<FileStore> getFileStores() {
        return delegate.getFileStores();
    }

    @Override
    public Set<String> supportedFileAttributeViews() {
        return delegate.supportedFileAttributeViews();
    }

    @Override
    public Path getPath(String first, String... more) {
        return disk.wrap(delegate.getPath(first, more));
    }

    @Override
    public PathMatcher getPathMatcher(String pattern) {
        PathMatcher matcher = delegate.getPathMatcher(pattern);
        return p -> matcher.matches(FaultyDisk.unwrap(p));
    }

    @Override
    public UserPrincipalLookupService getUserPrincipalLookupService() {
        return delegate.getUserPrincipalLookupService();
    }

    @Override
    public WatchService newWatchService() throws IOException {
        return delegate.newWatchService();
    }
}
