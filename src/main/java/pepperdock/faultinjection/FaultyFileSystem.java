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

/** The file system of a {@link FaultyDisk}: that of the system underneath, with paths that say that they are the disk's. */
final class FaultyFileSystem extends FileSystem {
    private final FaultyDisk disk;
    private final FileSystem of;

    FaultyFileSystem(FaultyDisk disk, FileSystem of) {
        this.disk = disk;
        this.of = of;
    }

    @Override
    public FileSystemProvider provider() {
        return disk;
    }

    @Override
    public void close() throws IOException {
        of.close();
    }

    @Override
    public boolean isOpen() {
        return of.isOpen();
    }

    @Override
    public boolean isReadOnly() {
        return of.isReadOnly();
    }

    @Override
    public String getSeparator() {
        return of.getSeparator();
    }

    @Override
    public Iterable<Path> getRootDirectories() {
        return StreamSupport.stream(of.getRootDirectories().spliterator(), false)
                .map(disk::outer)
                .toList();
    }

    @Override
    public Iterable<FileStore> getFileStores() {
        return of.getFileStores();
    }

    @Override
    public Set<String> supportedFileAttributeViews() {
        return of.supportedFileAttributeViews();
    }

    @Override
    public Path getPath(String first, String... more) {
        return disk.outer(of.getPath(first, more));
    }

    @Override
    public PathMatcher getPathMatcher(String pattern) {
        PathMatcher m = of.getPathMatcher(pattern);
        return p -> m.matches(FaultyDisk.inner(p));
    }

    @Override
    public UserPrincipalLookupService getUserPrincipalLookupService() {
        return of.getUserPrincipalLookupService();
    }

    @Override
    public WatchService newWatchService() throws IOException {
        return of.newWatchService();
    }
}
