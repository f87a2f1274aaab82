package pepperdock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** No package imports another that, directly or by way of others, imports it. */
class PackagesTest {

    private static final Pattern USE = Pattern.compile("\\bpepperdock\\.([a-z.]+)\\.[A-Z]");

    private static Map<String, Set<String>> uses() throws Exception {
        Map<String, Set<String>> uses = new TreeMap<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java/pepperdock"))) {
            for (Path f : files.filter(p -> p.toString().endsWith(".java")).toList()) {
                String own = Path.of("src/main/java/pepperdock")
                        .relativize(f.getParent())
                        .toString()
                        .replace('/', '.');
                Matcher m = USE.matcher(Files.readString(f));
                Set<String> found = uses.computeIfAbsent(own, k -> new TreeSet<>());
                while (m.find()) {
                    found.add(m.group(1));
                }
                found.remove(own);
            }
        }
        return uses;
    }

    @Test
    void packagesDoNotImportInACircle() throws Exception {
        Map<String, Set<String>> left = uses();
        assertTrue(left.size() >= 11, left.toString());
        boolean shrinks = true;
        while (shrinks) {
            List<String> free = new ArrayList<>();
            left.forEach((name, used) -> {
                if (used.stream().noneMatch(left::containsKey)) {
                    free.add(name);
                }
            });
            shrinks = left.keySet().removeAll(free);
        }
        assertEquals(Map.of(), left);
    }

    @Test
    void theCoreKnowsNoWire() throws Exception {
        assertEquals(Set.of("scheduler"), uses().get("core"));
        assertEquals(Set.of("estimate"), uses().get("scheduler"));
        assertEquals(Set.of(), uses().get("estimate"));
    }

    /** A wall clock that jumps can do nothing to a program that reads it once, at its start, and then counts from there. */
    @Test
    void theWallClockIsReadOnceByTheLoopAndByNobodyElseInService() throws Exception {
        Pattern java = Pattern.compile(
                "currentTimeMillis\\(|(Instant|LocalDateTime|ZonedDateTime)\\.now\\(|Clock\\.system|new Date\\(");
        Map<String, Integer> reads = new TreeMap<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java/pepperdock"))) {
            for (Path f : files.filter(p -> p.toString().endsWith(".java")).toList()) {
                int n = (int) java.matcher(Files.readString(f)).results().count();
                if (n > 0) {
                    reads.put(f.getFileName().toString(), n);
                }
            }
        }
        assertEquals(Map.of("EventLoop.java", 1, "LabCommand.java", 1), reads);
        assertTrue(Files.readString(Path.of("src/main/java/pepperdock/transport/EventLoop.java"))
                .contains("private final double startedAt = System.currentTimeMillis() / 1e3;"));
    }
}
