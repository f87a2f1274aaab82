package pepperdock;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pepperdock.config.Config;
import pepperdock.config.Sites;

class ReloadTest {

    private static final String FILE = """
            {"name":"n","listen":"127.0.0.4:8000","discovery":"127.0.0.1:%d","limits":{"sockets":%d},"settings":%s}""";

    @TempDir
    private Path folder;
    private final List<String> changed = new ArrayList<>();

    private Reload begin(String text) throws Exception {
        Map<String, String> env = Map.of("EDGE_CONFIG", write(text).toString(), "EDGE_DISCOVERY", "127.0.0.1:1");
        return new Reload(env, Config.file(env), Runnable::run, new Reload.Live(
                at -> changed.add("discovery " + at.getPort()), null, n -> changed.add("sockets " + n)));
    }

    private Path write(String text) throws Exception {
        return Files.writeString(folder.resolve("config.json"), text);
    }

    /** The address that the environment had at the start must not hide the file's. */
    @Test
    void whatDiffersIsPutIntoUseAndNothingElse() throws Exception {
        Reload reload = begin(FILE.formatted(1, 256, Sites.SETTINGS));
        reload.reload();
        assertEquals(List.of(), changed);
        write(FILE.formatted(2, 256, Sites.SETTINGS));
        reload.reload();
        reload.reload();
        assertEquals(List.of("discovery 2"), changed);
        write(FILE.formatted(2, 512, Sites.SETTINGS.replace("0.005", "0.006")));
        reload.reload();
        assertEquals(List.of("discovery 2", "sockets 512"), changed);
    }

    @Test
    void aFaultyFileLeavesAllAsItWas() throws Exception {
        Reload reload = begin(FILE.formatted(1, 256, Sites.SETTINGS));
        for (String faulty : List.of("", "{", "[]", FILE.formatted(2, 8, Sites.SETTINGS), FILE.formatted(70000, 512, "{}"),
                FILE.formatted(2, 256, Sites.SETTINGS.replace("\"Slices\":12", "\"Slices\":-1")))) {
            write(faulty);
            reload.reload();
        }
        Files.delete(folder.resolve("config.json"));
        reload.reload();
        assertEquals(List.of(), changed);
        write(FILE.formatted(3, 256, Sites.SETTINGS));
        reload.reload();
        assertEquals(List.of("discovery 3"), changed);
    }
}
