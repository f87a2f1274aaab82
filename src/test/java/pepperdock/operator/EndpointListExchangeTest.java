package pepperdock.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pepperdock.config.DeploymentSettings;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.core.EndpointListSnapshot;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointState;

class EndpointListExchangeTest {

    private static final String SOURCE = "127.0.0.1:8500";

    @TempDir
    private Path folder;

    private final DeploymentSettings settings = TestDeploymentSettings.small();
    /** Tasks for the disk thread of the first process; the second one's run at once. */
    private final Queue<Runnable> diskTasks = new ArrayDeque<>();

    private EndpointListExchange exchange() {
        return new EndpointListExchange(folder, settings, Runnable::run);
    }

    private static EndpointListSnapshot list(String source, long version) {
        return new EndpointListSnapshot(
                source,
                version,
                List.of(new WorkerEndpoint(
                        "w" + version, "127.0.0.1:1", 0, 0, 3, EndpointState.DRAINING, 1.5, 1_700_000_000.25)));
    }

    @Test
    void otherProcessReadsEachNewerListOnceWithItsStates() throws Exception {
        EndpointListExchange one = exchange();
        EndpointListExchange other = exchange();
        assertNull(other.readIfChanged());
        one.publish(list(SOURCE, 41));
        assertEquals(list(SOURCE, 41), other.readIfChanged());
        assertNull(other.readIfChanged());
        assertNull(one.readIfChanged(), "its own list");
        other.publish(list(SOURCE, 40));
        assertNull(one.readIfChanged(), "an older list does not replace a newer one");
        other.publish(list(SOURCE, 42));
        assertEquals(list(SOURCE, 42), one.readIfChanged());
        assertEquals(list(SOURCE, 42), exchange().readIfChanged(), "a process that starts later");
    }

    @Test
    void listOfAnotherSourceOrOfASourceThatCountsAnewReplacesANewerVersion() throws Exception {
        EndpointListExchange one = exchange();
        EndpointListExchange other = exchange();
        one.publish(list(SOURCE, 41));
        other.publish(list("127.0.0.1:8600", 7));
        assertEquals(list("127.0.0.1:8600", 7), one.readIfChanged());
        other.publish(list("127.0.0.1:8600", 2));
        assertEquals(list("127.0.0.1:8600", 2), one.readIfChanged());
    }

    /** The disk refuses writes for a while: the newest list is written once it accepts them, and older ones never. */
    @Test
    void newestListIsWrittenOnceTheDiskAcceptsWrites() throws Exception {
        EndpointListExchange one = new EndpointListExchange(folder, settings, diskTasks::add);
        EndpointListExchange other = exchange();
        Path blocker = Files.createDirectory(folder.resolve("endpoints.new"));
        one.publish(list(SOURCE, 41));
        for (long version = 42; version < 60; version++) {
            one.publish(list(SOURCE, version));
        }
        assertEquals(1, diskTasks.size(), "lists that wait for the disk don't pile up");
        diskTasks.remove().run();
        one.writeUnwritten();
        assertNull(other.readIfChanged());
        Files.delete(blocker);
        one.writeUnwritten();
        assertEquals(list(SOURCE, 59), other.readIfChanged());
    }

    /** A file that can't be read tells nothing, and the next list replaces it. */
    @ParameterizedTest
    @ValueSource(strings = {"", "{\"version\":1,\"source\":", "[]", "{\"version\":9}", "{\"version\":1,\"list\":{}}"})
    void damagedFileCountsAsNone(String text) throws Exception {
        Files.writeString(folder.resolve("endpoints.json"), text);
        EndpointListExchange one = exchange();
        assertNull(one.readIfChanged());
        one.publish(list(SOURCE, 41));
        assertEquals(list(SOURCE, 41), exchange().readIfChanged());
    }
}
