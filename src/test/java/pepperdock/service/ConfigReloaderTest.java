package pepperdock.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import pepperdock.config.Config;
import pepperdock.config.TestDeploymentSettings;
import pepperdock.scheduler.RetrySafety;

class ConfigReloaderTest {

    private static final String FILE = """
            {"name":"n","listen":"127.0.0.4:8000","discovery":"127.0.0.1:%d","limits":{"sockets":%d},"settings":%s}""";

    @TempDir
    private Path folder;

    private final List<String> changed = new ArrayList<>();
    private final List<Boolean> reloadResults = new ArrayList<>();

    private ConfigReloader createReloader(String text) throws Exception {
        Map<String, String> env = Map.of("EDGE_CONFIG", write(text).toString(), "EDGE_DISCOVERY", "127.0.0.1:1");
        return new ConfigReloader(
                env,
                Config.readFile(env),
                false,
                Runnable::run,
                new ConfigReloader.ReloadTargets(
                        at -> changed.add("discovery " + at.getPort()),
                        null,
                        n -> changed.add("sockets " + n),
                        to -> changed.add("classes " + to.site().classes() + " attempts "
                                + to.site().scheduler().limits().maxAttempts())),
                reloadResults::add);
    }

    private Path write(String text) throws Exception {
        return Files.writeString(folder.resolve("config.json"), text);
    }

    /** The discovery address from the environment at the start must not override that of the reloaded file. */
    @Test
    void appliesOnlyTheKeysThatDiffer() throws Exception {
        ConfigReloader reloader = createReloader(FILE.formatted(1, 256, TestDeploymentSettings.SETTINGS));
        reloader.reload();
        assertEquals(List.of(), changed);
        write(FILE.formatted(2, 256, TestDeploymentSettings.SETTINGS));
        reloader.reload();
        reloader.reload();
        assertEquals(List.of("discovery 2"), changed);
        write(FILE.formatted(2, 512, TestDeploymentSettings.SETTINGS.replace("0.005", "0.006")));
        reloader.reload();
        assertEquals(
                List.of(
                        "discovery 2",
                        "sockets 512",
                        "classes [history-search, payout-report, balance-adjust] attempts 4"),
                changed);
        assertEquals(List.of(true, true, true, true), reloadResults);
    }

    /** Guards against a list whose zones are numbered by the new file, while the zones in use are those of the old one. */
    @Test
    void knownListIsReadByTheZonesInUse() throws Exception {
        String file = """
                {"name":"n","listen":"127.0.0.4:8000","known":{"hosts":[
                {"host":"a","dial":"127.0.0.1:1","site":"%s","block":0,"health":"in_service"}]},"settings":%s}""";
        String settings = TestDeploymentSettings.SETTINGS.replace("[\"room\"]", "%s");
        Map<String, String> env = Map.of(
                "EDGE_CONFIG",
                write(file.formatted("room", settings.formatted("[\"room\",\"hall\"]")))
                        .toString());
        List<Integer> zones = new ArrayList<>();
        ConfigReloader reloader = new ConfigReloader(
                env,
                Config.readFile(env),
                false,
                Runnable::run,
                new ConfigReloader.ReloadTargets(
                        null, hosts -> hosts.forEach(host -> zones.add(host.zone())), null, to -> {}),
                reloadResults::add);
        write(file.formatted("hall", settings.formatted("[\"hall\",\"room\"]")));
        reloader.reload();
        assertEquals(List.of(true), reloadResults);
        assertEquals(List.of(1), zones);
    }

    /**
     * Guards against updates that are sent again to servers which know no keys: the new file names another backend, which
     * waits for a restart, so the class must keep the effect that it has with the backend in use ({@code review/9}).
     */
    @Test
    void effectsOfClassesFollowTheBackendInUse() throws Exception {
        String file = """
                {"name":"n","opensearch":{"listen":"127.0.0.4:8000","backend":"%s","indices":[
                {"index":"a","class":"balance-adjust"}]},"settings":%s}""";
        Map<String, String> env = Map.of(
                "EDGE_CONFIG",
                write(file.formatted("opensearch", TestDeploymentSettings.SETTINGS))
                        .toString());
        List<RetrySafety> effects = new ArrayList<>();
        ConfigReloader reloader = new ConfigReloader(
                env,
                Config.readFile(env),
                false,
                Runnable::run,
                new ConfigReloader.ReloadTargets(
                        null,
                        null,
                        null,
                        to -> to.site().scheduler().classes().forEach(each -> effects.add(each.retrySafety()))),
                reloadResults::add);
        write(file.formatted("frames", TestDeploymentSettings.SETTINGS.replace("0.005", "0.006")));
        reloader.reload();
        assertEquals(List.of(true), reloadResults);
        assertEquals(List.of(RetrySafety.IDEMPOTENT, RetrySafety.IDEMPOTENT, RetrySafety.NOT_IDEMPOTENT), effects);
    }

    /** Applies classes that were added, removed or given another effect, and a lower number of attempts. */
    @Test
    void appliesChangedClassesAndFewerAttempts() throws Exception {
        ConfigReloader reloader = createReloader(FILE.formatted(1, 256, TestDeploymentSettings.SETTINGS));
        write(FILE.formatted(
                1,
                256,
                TestDeploymentSettings.SETTINGS
                        .replace("balance-adjust", "wallet-move")
                        .replace("idempotency_key", "non_idempotent")
                        .replace("\"MaxAttempts\":4", "\"MaxAttempts\":2")));
        reloader.reload();
        assertEquals(List.of("classes [history-search, payout-report, wallet-move] attempts 2"), changed);
    }

    static Stream<String> invalidSettings() {
        String all = TestDeploymentSettings.SETTINGS;
        return Stream.of(
                all.replace("\"DeadlineS\":6", "\"DeadlineS\":0"),
                all.replace("\"DeadlineS\":6", "\"DeadlineS\":\"6\""),
                all.replace("\"DeadlineS\":6,", ""),
                all.replace("\"MaxAttempts\":4", "\"MaxAttempts\":0"),
                all.replace("\"MaxAttempts\":4", "\"MaxAttempts\":-1"),
                all.replace("\"MaxAttempts\":4", "\"MaxAttempts\":\"many\""),
                all.replace("\"MaxAttempts\":4,", ""),
                all.replace("\"Worth\":5", "\"Wurth\":5"),
                all.replace("\"WarmUpS\":14", "\"Warm\":14"),
                all.replace("\"Report\":{\"Names\":[\"throughput\"],\"Source\":\"inline\"},", ""),
                all.substring(0, all.length() - 40));
    }

    /** A file with one invalid setting also changes other keys. Nothing of it may be applied. */
    @ParameterizedTest
    @MethodSource("invalidSettings")
    void rejectsTheWholeFileIfOneSettingIsInvalid(String settings) throws Exception {
        ConfigReloader reloader = createReloader(FILE.formatted(1, 256, TestDeploymentSettings.SETTINGS));
        write(FILE.formatted(2, 512, settings));
        reloader.reload();
        assertEquals(List.of(), changed);
        assertEquals(List.of(false), reloadResults);
    }

    /** Covers each of the platform's keys, including the settings as a whole. */
    @ParameterizedTest
    @ValueSource(strings = {"name", "listen", "discovery", "limits", "settings"})
    void rejectsAFileThatLacksAPlatformKey(String key) throws Exception {
        ConfigReloader reloader = createReloader(FILE.formatted(1, 256, TestDeploymentSettings.SETTINGS));
        JsonObject incomplete = JsonParser.parseString(FILE.formatted(2, 512, TestDeploymentSettings.SETTINGS))
                .getAsJsonObject();
        incomplete.remove(key);
        write(incomplete.toString());
        reloader.reload();
        assertEquals(List.of(), changed);
        assertEquals(List.of(false), reloadResults);
    }

    /**
     * Reloads empty, truncated and otherwise invalid files, then a missing one. The next valid file is still applied.
     */
    @Test
    void invalidFileChangesNothing() throws Exception {
        ConfigReloader reloader = createReloader(FILE.formatted(1, 256, TestDeploymentSettings.SETTINGS));
        for (String invalid : List.of(
                "",
                "{",
                "[]",
                FILE.formatted(2, 8, TestDeploymentSettings.SETTINGS),
                FILE.formatted(70000, 512, "{}"),
                FILE.formatted(2, 256, TestDeploymentSettings.SETTINGS.replace("\"Slices\":12", "\"Slices\":-1")))) {
            write(invalid);
            reloader.reload();
        }
        Files.delete(folder.resolve("config.json"));
        reloader.reload();
        assertEquals(List.of(), changed);
        write(FILE.formatted(3, 256, TestDeploymentSettings.SETTINGS));
        reloader.reload();
        assertEquals(List.of("discovery 3"), changed);
    }
}
