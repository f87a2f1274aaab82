package pepperdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
 * Starts the built jar through deploy/start, in a separate folder, with a class archive that is intact, truncated,
 * corrupted or missing. Guards against an observed failure: given a truncated archive, the JVM ends with SIGBUS before
 * its first log line.
 */
@Timeout(120)
class StartIT {

    private static final String NO_ARCHIVE = "no class archive that is whole";

    @TempDir
    private Path root;

    private Path archive;
    /** Search path of the started process; null for that of this process. */
    private String path;

    private List<String> command = List.of("/bin/sh", "deploy/start", "serve");

    @BeforeEach
    void copyBuildOutput() throws IOException {
        Files.createDirectories(root.resolve("target"));
        Files.createDirectories(root.resolve("deploy"));
        for (String file : new String[] {
            "target/pepperdock.jar",
            "target/pepperdock.jsa",
            "target/pepperdock.jsa.tried",
            "deploy/start",
            "deploy/serve.args"
        }) {
            // The archive records the modification time of the jar.
            Files.copy(Path.of(file), root.resolve(file), StandardCopyOption.COPY_ATTRIBUTES);
        }
        archive = root.resolve("target/pepperdock.jsa");
        assertTrue(archive.toFile().setWritable(true));
    }

    /** What a started process logged, which program it is when it serves, and whether it has mapped the archive. */
    private record StartResult(String log, String program, boolean archiveMapped) {}

    /**
     * Starts the process, checks that it is ready, looks in /proc whether the archive is mapped, and ends the process.
     */
    private StartResult startAndServe() throws Exception {
        try (JarProcess jar =
                new JarProcess(root, root, command, "\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[]},", path)) {
            try (Socket client = jar.connect()) {
                JarProcess.assertReady(client);
            }
            return new StartResult(
                    jar.log(),
                    Files.readSymbolicLink(Path.of("/proc", Long.toString(jar.process.pid()), "exe"))
                            .getFileName()
                            .toString(),
                    Files.readString(Path.of("/proc", Long.toString(jar.process.pid()), "maps"))
                            .contains("pepperdock.jsa"));
        }
    }

    @Test
    void archiveOfTheBuildIsUsed() throws Exception {
        StartResult result = startAndServe();
        assertTrue(result.archiveMapped() && !result.log().contains(NO_ARCHIVE), result.log());
    }

    @Test
    void truncatedArchiveIsIgnoredAndTheProcessServes() throws Exception {
        truncateArchive();
        assertServesWithoutArchive();
    }

    private void truncateArchive() throws IOException {
        try (RandomAccessFile file = new RandomAccessFile(archive.toFile(), "rw")) {
            file.setLength(file.length() / 2);
        }
    }

    @Test
    void archiveCorruptedInTheMiddleIsIgnoredAndTheProcessServes() throws Exception {
        try (RandomAccessFile file = new RandomAccessFile(archive.toFile(), "rw")) {
            file.seek(file.length() / 2);
            file.write("spoilt".getBytes(StandardCharsets.US_ASCII));
        }
        assertServesWithoutArchive();
    }

    @Test
    void processServesWithoutAnArchive() throws Exception {
        Files.delete(archive);
        assertServesWithoutArchive();
    }

    /**
     * On a platform that refuses fork, a start script that checks the archive in a child process would start without
     * the archive. In this test, Java is the only program on the search path.
     */
    @Test
    void archiveIsUsedWhenJavaIsTheOnlyProgramOnThePath() throws Exception {
        Path bin = Files.createDirectories(root.resolve("bin"));
        Files.createSymbolicLink(bin.resolve("java"), Path.of(System.getProperty("java.home"), "bin", "java"));
        path = bin.toString();
        archiveOfTheBuildIsUsed();
    }

    /**
     * The run line in deploy/balancer.toml ends in one process, the JVM, as the platform requires: it sends its signals to
     * the process that it has started. A damaged archive must not end that process.
     */
    @Test
    void runLineOfThePlatformServesWithAndWithoutTheArchive() throws Exception {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .findFirst()
                .orElseThrow()
                .replaceFirst("run = \"(.*)\"", "$1");
        command = List.of("/bin/sh", "-c", run);
        StartResult result = startAndServe();
        assertEquals("java", result.program(), run);
        assertTrue(result.archiveMapped(), result.log());
        truncateArchive();
        assertServesWithoutArchive();
        Files.delete(archive);
        result = startAndServe();
        assertEquals("java", result.program(), run);
        assertFalse(result.archiveMapped(), result.log());
    }

    /**
     * The jar was rebuilt and the archive was not. The JVM detects this by the modification time of the jar and
     * continues without the archive.
     */
    @Test
    void archiveOfAnotherJarIsIgnoredAndTheProcessServes() throws Exception {
        Path jar = root.resolve("target/pepperdock.jar");
        Files.setLastModifiedTime(
                jar,
                java.nio.file.attribute.FileTime.fromMillis(
                        Files.getLastModifiedTime(jar).toMillis() - 100_000));
        StartResult result = startAndServe();
        assertFalse(result.archiveMapped(), result.log());
    }

    private void assertServesWithoutArchive() throws Exception {
        StartResult result = startAndServe();
        assertTrue(!result.archiveMapped() && result.log().contains(NO_ARCHIVE), result.log());
    }

    @Test
    void classesOfUnusedFeaturesAreNotLoaded() throws Exception {
        Path classes = root.resolve("classes");
        command = List.of("java", "-Xlog:class+load:file=" + classes, "-jar", "target/pepperdock.jar", "serve");
        startAndServe();
        String loaded = Files.readString(classes);
        assertTrue(
                loaded.contains("pepperdock.transport.EventLoop"),
                "the list of loaded classes contains the event loop");
        for (String unused : List.of(
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
            assertFalse(loaded.contains(unused), unused);
        }
    }
}
