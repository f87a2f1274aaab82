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

/** Checks the dependencies between packages, and which classes read the wall clock. */
class PackagesTest {

    private static final Pattern TYPE_REFERENCE = Pattern.compile("\\bpepperdock\\.([a-z.]+)\\.[A-Z]");

    private static Map<String, Set<String>> dependencies() throws Exception {
        Map<String, Set<String>> dependencies = new TreeMap<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java/pepperdock"))) {
            for (Path file : files.filter(p -> p.toString().endsWith(".java")).toList()) {
                String own = Path.of("src/main/java/pepperdock")
                        .relativize(file.getParent())
                        .toString()
                        .replace('/', '.');
                Matcher matcher = TYPE_REFERENCE.matcher(Files.readString(file));
                Set<String> found = dependencies.computeIfAbsent(own, k -> new TreeSet<>());
                while (matcher.find()) {
                    found.add(matcher.group(1));
                }
                found.remove(own);
            }
        }
        return dependencies;
    }

    @Test
    void packageDependenciesHaveNoCycle() throws Exception {
        Map<String, Set<String>> remaining = dependencies();
        assertTrue(remaining.size() >= 11, remaining.toString());
        boolean shrinks = true;
        while (shrinks) {
            List<String> independent = new ArrayList<>();
            remaining.forEach((name, used) -> {
                if (used.stream().noneMatch(remaining::containsKey)) {
                    independent.add(name);
                }
            });
            shrinks = remaining.keySet().removeAll(independent);
        }
        assertEquals(Map.of(), remaining);
    }

    @Test
    void coreDependsOnlyOnSchedulerAndSchedulerOnlyOnEstimate() throws Exception {
        assertEquals(Set.of("scheduler"), dependencies().get("core"));
        assertEquals(Set.of("estimate"), dependencies().get("scheduler"));
        assertEquals(Set.of(), dependencies().get("estimate"));
    }

    /**
     * A jump of the wall clock has no effect on a program that reads it only once, at its start, and then counts from
     * there.
     */
    @Test
    void inServiceOnlyTheEventLoopReadsTheWallClockAndOnlyOnce() throws Exception {
        Pattern clockRead = Pattern.compile(
                "currentTimeMillis\\(|(Instant|LocalDateTime|ZonedDateTime)\\.now\\(|Clock\\.system|new Date\\(");
        Map<String, Integer> reads = new TreeMap<>();
        try (Stream<Path> files = Files.walk(Path.of("src/main/java/pepperdock"))) {
            for (Path file : files.filter(p -> p.toString().endsWith(".java")).toList()) {
                int count = (int)
                        clockRead.matcher(Files.readString(file)).results().count();
                if (count > 0) {
                    reads.put(file.getFileName().toString(), count);
                }
            }
        }
        assertEquals(Map.of("EventLoop.java", 1, "LabCommand.java", 1), reads);
        assertTrue(Files.readString(Path.of("src/main/java/pepperdock/transport/EventLoop.java"))
                .contains("private final double startedAt = System.currentTimeMillis() / 1e3;"));
    }
}
