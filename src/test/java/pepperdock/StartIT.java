package pepperdock;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The built jar by way of deploy/start, in a folder of its own: with the class archive whole, cut off, spoilt and gone.
 * Guards against what was seen: handed an archive that is cut off, the JVM ends with SIGBUS before the first line.
 */
@Timeout(120)
class StartIT {

    private static final String NO_ARCHIVE = "no class archive that is whole";

    @TempDir
    private Path root;

    private Path archive;
    /** The search path of the program that is started; null for this one's. */
    private String path;

    private List<String> command = List.of("/bin/sh", "deploy/start", "serve");

    @BeforeEach
    void copyOfWhatWasBuilt() throws IOException {
        Files.createDirectories(root.resolve("target"));
        Files.createDirectories(root.resolve("deploy"));
        for (String file : new String[] {
            "target/pepperdock.jar",
            "target/pepperdock.jsa",
            "target/pepperdock.jsa.tried",
            "deploy/start",
            "deploy/serve.args"
        }) {
            // The archive names the jar's time of change.
            Files.copy(Path.of(file), root.resolve(file), StandardCopyOption.COPY_ATTRIBUTES);
        }
        archive = root.resolve("target/pepperdock.jsa");
        assertTrue(archive.toFile().setWritable(true));
    }

    private record Served(String log, boolean fromArchive) {}

    /** Starts, asks whether it is ready, looks (by /proc) whether the archive is mapped, ends it. */
    private Served serves() throws Exception {
        try (BuiltJar jar =
                new BuiltJar(root, root, command, "\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[]},", path)) {
            try (Socket client = jar.connect()) {
                BuiltJar.ready(client);
            }
            return new Served(
                    jar.log(),
                    Files.readString(Path.of("/proc", Long.toString(jar.process.pid()), "maps"))
                            .contains("pepperdock.jsa"));
        }
    }

    @Test
    void theArchiveOfTheBuildIsInUse() throws Exception {
        Served served = serves();
        assertTrue(served.fromArchive() && !served.log().contains(NO_ARCHIVE), served.log());
    }

    @Test
    void anArchiveCutOffIsLeftAsideAndTheProgramServes() throws Exception {
        try (RandomAccessFile file = new RandomAccessFile(archive.toFile(), "rw")) {
            file.setLength(file.length() / 2);
        }
        leftAside();
    }

    @Test
    void anArchiveSpoiltInTheMiddleIsLeftAsideAndTheProgramServes() throws Exception {
        try (RandomAccessFile file = new RandomAccessFile(archive.toFile(), "rw")) {
            file.seek(file.length() / 2);
            file.write("spoilt".getBytes(StandardCharsets.US_ASCII));
        }
        leftAside();
    }

    @Test
    void withoutAnArchiveTheProgramServes() throws Exception {
        Files.delete(archive);
        leftAside();
    }

    /** Where fork is refused, a start that wants a child's word on the archive goes without: here there is none to start. */
    @Test
    void theArchiveIsInUseWithNoOtherProgramThanJava() throws Exception {
        Path bin = Files.createDirectories(root.resolve("bin"));
        Files.createSymbolicLink(bin.resolve("java"), Path.of(System.getProperty("java.home"), "bin", "java"));
        path = bin.toString();
        theArchiveOfTheBuildIsInUse();
    }

    /** The platform's own line: one exec, as each further one is a step in which a start can fail. */
    @Test
    void theRunLineOfThePlatformServesWithTheArchiveAndWithout() throws Exception {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceFirst("run = \"(.*)\"", "$1");
        assertTrue(run.startsWith("exec java "), run);
        command = List.of("/bin/sh", "-c", run);
        Served served = serves();
        assertTrue(served.fromArchive(), served.log());
        Files.delete(archive);
        served = serves();
        assertFalse(served.fromArchive(), served.log());
    }

    /** The jar was built anew and the archive was not: the JVM itself sees that by the jar's time, and goes on. */
    @Test
    void anArchiveOfAnotherJarIsLeftAsideAndTheProgramServes() throws Exception {
        Path jar = root.resolve("target/pepperdock.jar");
        Files.setLastModifiedTime(
                jar,
                java.nio.file.attribute.FileTime.fromMillis(
                        Files.getLastModifiedTime(jar).toMillis() - 100_000));
        Served served = serves();
        assertFalse(served.fromArchive(), served.log());
    }

    private void leftAside() throws Exception {
        Served served = serves();
        assertTrue(!served.fromArchive() && served.log().contains(NO_ARCHIVE), served.log());
    }

    @Test
    void nothingOfMembershipOrTheLaboratoryIsLoadedWhereTheFileHasNone() throws Exception {
        Path classes = root.resolve("classes");
        command = List.of("java", "-Xlog:class+load:file=" + classes, "-jar", "target/pepperdock.jar", "serve");
        serves();
        String loaded = Files.readString(classes);
        assertTrue(loaded.contains("pepperdock.transport.EventLoop"), "the list is what it should be");
        for (String absent : List.of(
                "pepperdock.membership.",
                "pepperdock.simulation.",
                "pepperdock.faultinjection.",
                "pepperdock.benchmark.",
                "pepperdock.distribution.",
                "pepperdock.cli.",
                "pepperdock.store.raft.",
                "com.fasterxml.",
                "com.dynatrace.",
                "org.HdrHistogram")) {
            assertFalse(loaded.contains(absent), absent);
        }
    }
}
