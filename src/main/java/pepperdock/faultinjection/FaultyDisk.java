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
import java.nio.file.LinkOption;
import java.nio.file.NoSuchFileException;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.FileAttributeView;
import java.nio.file.spi.FileSystemProvider;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

/**
 * The default file system of a member, as the JDK lets it be replaced ({@code java.nio.file.spi.DefaultFileSystemProvider}),
 * so that the member's own code runs unchanged on a disk that is full, slow or broken. Only what lies in the member's
 * {@code state} is touched; a file {@code disk} beside it, written by the rig and read at each operation, says how:
 * {@code full} (nothing can be written or made), {@code broken} (syncs fail, and what was written may be lost), {@code slow S}
 * (each sync takes S seconds longer), or nothing.
 */
public final class FaultyDisk extends FileSystemProvider {

    /** The system property that names the member's folder. */
    static final String FOLDER = "pepperdock.lab.disk";

    static final String SAYS = "disk";
    static final String TOUCHED = "state";

    private final FileSystemProvider under;
    private final FaultyFileSystem whole;
    private final Path says;
    private final Path touched;

    /** Called by the JDK at its start. */
    public FaultyDisk(FileSystemProvider under) {
        this(under, System.getProperty(FOLDER));
    }

    FaultyDisk(FileSystemProvider under, String folder) {
        this.under = under;
        FileSystem system = under.getFileSystem(URI.create("file:///"));
        whole = new FaultyFileSystem(this, system);
        says = system.getPath(folder, SAYS).toAbsolutePath();
        touched = system.getPath(folder, TOUCHED).toAbsolutePath();
    }

    /** What the rig has said last, if it concerns this path; in words, the first one the kind. */
    private String[] fault(Path p) throws IOException {
        if (!p.toAbsolutePath().normalize().startsWith(touched)) {
            return new String[] {""};
        }
        try (SeekableByteChannel c = under.newByteChannel(says, Set.of(StandardOpenOption.READ))) {
            ByteBuffer b = ByteBuffer.allocate(64);
            c.read(b);
            return new String(b.array(), 0, b.position(), StandardCharsets.US_ASCII)
                    .strip()
                    .split(" ");
        } catch (NoSuchFileException e) {
            return new String[] {""};
        }
    }

    /** Before anything is written or made there. */
    Path roomFor(Path p) throws IOException {
        Path inner = inner(p);
        if (fault(inner)[0].equals("full")) {
            throw new IOException("No space left on device");
        }
        return inner;
    }

    void sync(Path inner) throws IOException {
        String[] fault = fault(inner);
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

    // ---- Paths: those of the system underneath, that say that they are ours
    // ------------------------------------------------

    private record Outer(FaultyDisk disk, Path of) implements InvocationHandler {

        @Override
        public Object invoke(Object proxy, java.lang.reflect.Method m, Object[] args) throws Throwable {
            if (m.getName().equals("getFileSystem")) {
                return disk.whole;
            }
            Object[] given = args == null ? new Object[0] : args.clone();
            for (int i = 0; i < given.length; i++) {
                given[i] = given[i] instanceof Path p ? inner(p) : given[i];
            }
            Object result;
            try {
                result = m.invoke(of, given);
            } catch (InvocationTargetException e) {
                throw e.getCause();
            }
            return result instanceof Path p
                    ? disk.outer(p)
                    : result instanceof Iterator<?> all ? disk.outer(all) : result;
        }
    }

    Path outer(Path p) {
        return p == null
                ? null
                : (Path) Proxy.newProxyInstance(
                        FaultyDisk.class.getClassLoader(), new Class<?>[] {Path.class}, new Outer(this, p));
    }

    private Iterator<Path> outer(Iterator<?> all) {
        return new Iterator<>() {
            @Override
            public boolean hasNext() {
                return all.hasNext();
            }

            @Override
            public Path next() {
                return outer((Path) all.next());
            }
        };
    }

    static Path inner(Path p) {
        return Proxy.isProxyClass(p.getClass()) && Proxy.getInvocationHandler(p) instanceof Outer o ? o.of() : p;
    }

    // ---- Files ------------------------------------------------------------

    @Override
    public FileChannel newFileChannel(Path p, Set<? extends OpenOption> how, FileAttribute<?>... with)
            throws IOException {
        Path inner = how.contains(StandardOpenOption.WRITE) || how.contains(StandardOpenOption.APPEND)
                ? forWriting(p)
                : inner(p);
        return new FaultyFileChannel(this, under.newFileChannel(inner, how, with), inner);
    }

    /** A full disk still opens what is there already. */
    private Path forWriting(Path p) throws IOException {
        try {
            under.checkAccess(inner(p));
            return inner(p);
        } catch (NoSuchFileException e) {
            return roomFor(p);
        }
    }

    @Override
    public SeekableByteChannel newByteChannel(Path p, Set<? extends OpenOption> how, FileAttribute<?>... with)
            throws IOException {
        return how.contains(StandardOpenOption.WRITE) || how.contains(StandardOpenOption.APPEND)
                ? newFileChannel(p, how, with)
                : under.newByteChannel(inner(p), how, with);
    }

    @Override
    public DirectoryStream<Path> newDirectoryStream(Path p, DirectoryStream.Filter<? super Path> filter)
            throws IOException {
        DirectoryStream<Path> of = under.newDirectoryStream(inner(p), x -> filter.accept(outer(x)));
        return new DirectoryStream<>() {
            @Override
            public Iterator<Path> iterator() {
                return outer(of.iterator());
            }

            @Override
            public void close() throws IOException {
                of.close();
            }
        };
    }

    @Override
    public void createDirectory(Path p, FileAttribute<?>... with) throws IOException {
        under.createDirectory(roomFor(p), with);
    }

    @Override
    public void copy(Path from, Path to, CopyOption... how) throws IOException {
        under.copy(inner(from), roomFor(to), how);
    }

    @Override
    public void move(Path from, Path to, CopyOption... how) throws IOException {
        under.move(inner(from), inner(to), how);
    }

    @Override
    public void delete(Path p) throws IOException {
        under.delete(inner(p));
    }

    @Override
    public boolean isSameFile(Path a, Path b) throws IOException {
        return under.isSameFile(inner(a), inner(b));
    }

    @Override
    public boolean isHidden(Path p) throws IOException {
        return under.isHidden(inner(p));
    }

    @Override
    public FileStore getFileStore(Path p) throws IOException {
        return under.getFileStore(inner(p));
    }

    @Override
    public void checkAccess(Path p, AccessMode... modes) throws IOException {
        under.checkAccess(inner(p), modes);
    }

    @Override
    public <V extends FileAttributeView> V getFileAttributeView(Path p, Class<V> type, LinkOption... how) {
        return under.getFileAttributeView(inner(p), type, how);
    }

    @Override
    public <A extends BasicFileAttributes> A readAttributes(Path p, Class<A> type, LinkOption... how)
            throws IOException {
        return under.readAttributes(inner(p), type, how);
    }

    @Override
    public Map<String, Object> readAttributes(Path p, String which, LinkOption... how) throws IOException {
        return under.readAttributes(inner(p), which, how);
    }

    @Override
    public void setAttribute(Path p, String which, Object value, LinkOption... how) throws IOException {
        under.setAttribute(inner(p), which, value, how);
    }

    // ---- The system as a whole ------------------------------------------------------------

    @Override
    public String getScheme() {
        return under.getScheme();
    }

    @Override
    public FileSystem newFileSystem(URI uri, Map<String, ?> env) throws IOException {
        return under.newFileSystem(uri, env);
    }

    @Override
    public FileSystem getFileSystem(URI uri) {
        return whole;
    }

    @Override
    public Path getPath(URI uri) {
        return outer(under.getPath(uri));
    }
}
