package pepperdock.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests that the state machines use no other package of the program, no I/O, no clock and no thread. */
class PureTest {

    private static final Pattern IMPURE = Pattern.compile(
            "import pepperdock\\.|java\\.io\\.|java\\.net\\.|java\\.nio\\.file"
                    + "|java\\.nio\\.channels|java\\.time\\.|java\\.util\\.concurrent|nanoTime|currentTimeMillis|Thread");

    @Test
    void stateMachinesArePure() throws Exception {
        List<String> found = new ArrayList<>();
        int files = 0;
        try (Stream<Path> all = Files.list(Path.of("src/main/java/pepperdock/distribution"))) {
            for (Path file : all.filter(Files::isRegularFile).toList()) {
                files++;
                Files.readAllLines(file).stream()
                        .filter(line -> IMPURE.matcher(line).find())
                        .forEach(line -> found.add(file.getFileName() + ": " + line.strip()));
            }
        }
        assertEquals(List.of(), found);
        assertTrue(files > 20, "expected more than 20 source files, found " + files);
    }
}
