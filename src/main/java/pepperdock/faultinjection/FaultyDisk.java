package pepperdock.faultinjection;

import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.URI;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.SeekableByteChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessMode;
import java.nio.file.CopyOption;
import java.nio.file.DirectoryStream;
import java.nio.file.FileStore;
import java.nio.file.FileSystem;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.NoSuchFileException;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.FileAttributeView;
import java.nio.file.spi.FileSystemProvider;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The default file system of a member, replaced through the property of the JDK ({@code
 * java.nio.file.spi.DefaultFileSystemProvider}), so that the code of the member runs unchanged on a disk that is full,
 * slow or broken. Only the files in {@code state} of the member are affected. The rig writes the current fault to the
 * file {@code disk} beside it, which is read at each operation: {@code full} (nothing can be written or created),
 * {@code broken} (syncs fail, and what was written may be lost), {@code slow S} (each sync takes S seconds longer), or
 * nothing.
 */
public final class FaultyDisk extends FileSystemProvider {

    /** The system property that names the member's folder. */
    static final String FOLDER_PROPERTY = "pepperdock.lab.disk";

    static final String FAULT_FILE = "disk";
    /** The name of the folder that is affected, inside the member's folder. */
    public static final String STATE_FOLDER = "state";

    private final FileSystemProvider delegate;
    private final FaultyFileSystem fileSystem;
    private final Path faultFile;
    private final Path stateFolder;

    /**
     * Returns the command of a JVM, with the options for a member whose folder this is, and without a class archive:
     * classes of an archive are looked up as files of the platform's file system, which fails with this one.
     */
    public static List<String> commandWithFaults(List<String> command, Path memberFolder) {
        List<String> changed = new ArrayList<>(command);
        changed.removeIf(argument -> argument.startsWith("-XX:SharedArchiveFile="));
        changed.addAll(
                1,
                List.of(
                        "-Djava.nio.file.spi.DefaultFileSystemProvider=" + FaultyDisk.class.getName(),
                        "-D" + FOLDER_PROPERTY + '=' + memberFolder));
        return changed;
    }

    /** Sets the fault of the disk of a member; empty for none. A reader sees the old fault or the new one. */
    public static void setFault(Path memberFolder, String fault) throws IOException {
        Path newFile = memberFolder.resolve(FAULT_FILE + ".new");
        Files.writeString(newFile, fault);
        Files.move(newFile, memberFolder.resolve(FAULT_FILE), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Called by the JDK when it starts. */
    public FaultyDisk(FileSystemProvider delegate) {
        this(delegate, System.getProperty(FOLDER_PROPERTY));
    }

    FaultyDisk(FileSystemProvider delegate, String folder) {
        this.delegate = delegate;
        FileSystem defaultFileSystem = delegate.getFileSystem(URI.create("file:///"));
        fileSystem = new FaultyFileSystem(this, defaultFileSystem);
        faultFile = defaultFileSystem.getPath(folder, FAULT_FILE).toAbsolutePath();
        stateFolder = defaultFileSystem.getPath(folder, STATE_FOLDER).toAbsolutePath();
    }

    /** Returns the current fault if it affects this path, split into words of which the first is the kind. */
    private String[] currentFault(Path path) throws IOException {
        if (!path.toAbsolutePath().normalize().startsWith(stateFolder)) {
            return new String[] {""};
        }
        try (SeekableByteChannel channel = delegate.newByteChannel(faultFile, Set.of(StandardOpenOption.READ))) {
            ByteBuffer buffer = ByteBuffer.allocate(64);
            channel.read(buffer);
            return new String(buffer.array(), 0, buffer.position(), StandardCharsets.US_ASCII)
                    .strip()
                    .split(" ");
        } catch (NoSuchFileException e) {
            return new String[] {""};
        }
    }

    /** Throws if the disk is full; called before anything is written or created. Returns the underlying path. */
    Path checkSpace(Path path) throws IOException {
        Path unwrapped = unwrap(path);
        if (currentFault(unwrapped)[0].equals("full")) {
            throw new IOException("No space left on device");
        }
        return unwrapped;
    }

    void sync(Path unwrapped) throws IOException {
        String[] fault = currentFault(unwrapped);
        if (fault[0].equals("broken")) {
            throw new IOException("Input/output error");
        }
        if (fault[0].equals("slow")) {
            try {
                Thread.sleep((long) (Double.parseDouble(fault[1]) * 1e3));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    // ---- Paths: proxies of the underlying paths that report this file system
    // ------------------------------------------------

    private record WrappedPath(FaultyDisk disk, Path delegate) implements InvocationHandler {

        @Override
        public Object invoke(Object proxy, java.lang.reflect.Method method, Object[] args) throws Throwable {
            if (method.getName().equals("getFileSystem")) {
                return disk.fileSystem;
            }
            Object[] given = args == null ? new Object[0] : args.clone();
            for (int i = 0; i < given.length; i++) {
                given[i] = given[i] instanceof Path path ? unwrap(path) : given[i];
            }
            Object result;
            try {
                result = method.invoke(delegate, given);
            } catch (InvocationTargetException e) {
                throw e.getCause();
            }
            return result instanceof Path path
                    ? disk.wrap(path)
                    : result instanceof Iterator<?> all ? disk.wrap(all) : result;
        }
    }

    Path wrap(Path path) {
        return path == null
                ? null
                : (Path) Proxy.newProxyInstance(
                        FaultyDisk.class.getClassLoader(), new Class<?>[] {Path.class}, new WrappedPath(this, path));
    }

    private Iterator<Path> wrap(Iterator<?> all) {
        return new Iterator<>() {
            @Override
            public boolean hasNext() {
                return all.hasNext();
            }

            @Override
            public Path next() {
                return wrap((Path) all.next());
            }
        };
    }

    static Path unwrap(Path path) {
        return Proxy.isProxyClass(path.getClass()) && Proxy.getInvocationHandler(path) instanceof WrappedPath wrapped
                ? wrapped.delegate()
                : path;
    }

    // ---- Files ------------------------------------------------------------

    @Override
    public FileChannel newFileChannel(Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes)
            throws IOException {
        Path unwrapped = options.contains(StandardOpenOption.WRITE) || options.contains(StandardOpenOption.APPEND)
                ? forWriting(path)
                : unwrap(path);
        return new FaultyFileChannel(this, delegate.newFileChannel(unwrapped, options, attributes), unwrapped);
    }

    /** Returns the underlying path of a file to write; a full disk still opens files that exist. */
    private Path forWriting(Path path) throws IOException {
        try {
            delegate.checkAccess(unwrap(path));
            return unwrap(path);
        } catch (NoSuchFileException e) {
            return checkSpace(path);
        }
    }

    @Override
    public SeekableByteChannel newByteChannel(
            Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes) throws IOException {
        return options.contains(StandardOpenOption.WRITE) || options.contains(StandardOpenOption.APPEND)
                ? newFileChannel(path, options, attributes)
                : delegate.newByteChannel(unwrap(path), options, attributes);
    }

    @Override
    public DirectoryStream<Path> newDirectoryStream(Path path, DirectoryStream.Filter<? super Path> filter)
            throws IOException {
        DirectoryStream<Path> stream = delegate.newDirectoryStream(unwrap(path), x -> filter.accept(wrap(x)));
        return new DirectoryStream<>() {
            @Override
            public Iterator<Path> iterator() {
                return wrap(stream.iterator());
            }

            @Override
            public void close() throws IOException {
                stream.close();
            }
        };
    }

    @Override
    public void createDirectory(Path path, FileAttribute<?>... attributes) throws IOException {
        delegate.createDirectory(checkSpace(path), attributes);
    }

    @Override
    public void copy(Path from, Path to, CopyOption... options) throws IOException {
        delegate.copy(unwrap(from), checkSpace(to), options);
    }

    @Override
    public void move(Path from, Path to, CopyOption... options) throws IOException {
        delegate.move(unwrap(from), unwrap(to), options);
    }

    @Override
    public void delete(Path path) throws IOException {
        delegate.delete(unwrap(path));
    }

    @Override
    public boolean isSameFile(Path first, Path second) throws IOException {
        return delegate.isSameFile(unwrap(first), unwrap(second));
    }

    @Override
    public boolean isHidden(Path path) throws IOException {
        return delegate.isHidden(unwrap(path));
    }

    @Override
    public FileStore getFileStore(Path path) throws IOException {
        return delegate.getFileStore(unwrap(path));
    }

    @Override
    public void checkAccess(Path path, AccessMode... modes) throws IOException {
        delegate.checkAccess(unwrap(path), modes);
    }

    @Override
    public <V extends FileAttributeView> V getFileAttributeView(Path path, Class<V> type, LinkOption... options) {
        return delegate.getFileAttributeView(unwrap(path), type, options);
    }

    @Override
    public <A extends BasicFileAttributes> A readAttributes(Path path, Class<A> type, LinkOption... options)
            throws IOException {
        return delegate.readAttributes(unwrap(path), type, options);
    }

    @Override
    public Map<String, Object> readAttributes(Path path, String which, LinkOption... options) throws IOException {
        return delegate.readAttributes(unwrap(path), which, options);
    }

    @Override
    public void setAttribute(Path path, String which, Object value, LinkOption... options) throws IOException {
        delegate.setAttribute(unwrap(path), which, value, options);
    }

    // ---- The file system as a whole ------------------------------------------------------------

    @Override
    public String getScheme() {
        return delegate.getScheme();
    }

    @Override
    public FileSystem newFileSystem(URI uri, Map<String, ?> env) throws IOException {
        return delegate.newFileSystem(uri, env);
    }

    @Override
    public FileSystem getFileSystem(URI uri) {
        return fileSystem;
    }

    @Override
    public Path getPath(URI uri) {
        return wrap(delegate.getPath(uri));
    }
}
