package pepperdock.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import pepperdock.core.WorkerEndpoint;
import pepperdock.scheduler.EndpointState;
import pepperdock.scheduler.RetrySafety;

class ConfigTest {

    private static JsonObject file() {
        JsonObject file = JsonParser.parseString("""
                {"name":"n3","listen":"127.0.0.4:8000","discovery":"127.0.0.1:8500","seed":"ffffffffffffffff",
                 "limits":{"sockets":4096},"known":{"seq":41,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.9:1",
                 "site":"room","class":"std","block":3,"health":"terminating","share":1.0,"born_ms":1500}]}}""").getAsJsonObject();
        file.add("settings", JsonParser.parseString(TestDeploymentSettings.SETTINGS));
        return file;
    }

    private static Config read(JsonObject file) {
        return Config.read(new ConfigReader("", file), Map.of());
    }

    @Test
    void readsFileOfPlatformWithDefaults() {
        Config config = read(file());
        assertEquals(
                "n3 8000 8500 -1",
                config.name()
                        + ' '
                        + config.listen().getPort()
                        + ' '
                        + config.discovery().getPort()
                        + ' '
                        + config.seed());
        assertEquals(
                List.of(new WorkerEndpoint("s", "127.0.0.9:1", 0, 0, 3, EndpointState.DRAINING, 1, 1.5)),
                config.known().hosts());
        assertNull(config.openSearch());
        assertNull(config.dnsSd());
        assertEquals(40, config.site().scheduler().limits().maxQueriesAndParts());
        assertEquals(
                "n9",
                Config.read(new ConfigReader("", file()), Map.of("EDGE_NAME", "n9"))
                        .name());
    }

    /** Each row: a top-level key, its faulty value, and the full key that the message must name. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "listen|\"nowhere\"|listen",
                "seed|\"xyz\"|seed",
                "settings|null|settings",
                "limits|{\"sockets\":\"many\"}|limits.sockets",
                "limits|{\"sockets\":8}|limits.sockets",
                "known|{\"hosts\":[{\"host\":\"s\",\"health\":\"odd\",\"block\":0}]}|known.hosts[0].health",
                "known|{\"hosts\":[{\"host\":\"s\",\"health\":\"in_service\"}]}|known.hosts[0].block",
                "dnssd|{\"service\":\"ledger\"}|dnssd.service",
                "opensearch|{\"indices\":[{\"class\":\"none\"}]}|opensearch.indices[0].class",
                "plan|{\"every_s\":0}|plan.every_s",
                "plan|{\"share_least\":0.6}|plan.share_least",
                "plan|{\"often\":1}|plan.often",
                "opensearch|{\"indices\":[]}|opensearch.indices"
            })
    void errorNamesFaultyKey(String key, String value, String faultyKey) {
        JsonObject file = file();
        file.add(key, JsonParser.parseString(value));
        ConfigException e = assertThrows(ConfigException.class, () -> read(file));
        assertTrue(e.getMessage().startsWith(faultyKey + ":"), e.getMessage());
    }

    /** Each row: the path of a setting, its faulty value (none if the setting is removed), and the expected message. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "RequestClasses.0.GoalTimeS|4|GoalTimeS: must be above 0 and at most DeadlineS",
                "RequestClasses.0.GoalTimeS|1e999|GoalTimeS: must be a finite number",
                "RequestClasses.1.DeadlineS|0|DeadlineS: must be above 0",
                "RequestClasses.2.WindowS||WindowS: missing",
                "RequestClasses.2.WindowS|-1|WindowS: must be 0 or above",
                "RequestClasses.1.Name|\"\"|Name: must not be empty or the name of another class",
                "RequestClasses.2.Name|\"payout-report\"|Name: must not be empty or the name of another class",
                "RequestClasses.0.Effect|\"safe\"|Effect: must be read_like, idempotency_key or non_idempotent,"
                        + " but is safe",
                "RequestClasses.0.Worth|-1|Worth: must be 0 or above",
                "FamilyInfo.FloorByClass|[0.6,1.5,1]|FloorByClass[1]: must be above 0 and at most NeedByClass",
                "FamilyInfo.SecondStep|[0,0.5,0]|SecondStep[1]: must be a whole number, 0 or above",
                "FamilyInfo.Span|5|Span: must be a whole number from 1 to 4, but is 5.0",
                "FamilyInfo.Slices||Slices: missing",
                "Limits.MaxAttempts|0|MaxAttempts: must be a whole number from 1 to 65536, but is 0.0",
                "Limits.Multiplex|0.5|Multiplex: must be a whole number from 1 to 2147483647, but is 0.5",
                "Rules.ColdFrom|0|ColdFrom: must be above 0 and at most 1",
                "Rules.WarmUpS|-1|WarmUpS: must be 0 or above",
                "TickS|0|TickS: must be above 0",
                "RequestClasses|[]|RequestClasses: none",
                "Limits.Cancel|1|Cancel: must be true or false"
            })
    void errorNamesFaultySetting(String path, String value, String message) {
        JsonObject file = file();
        String[] names = path.split("\\.");
        com.google.gson.JsonElement element = file.get("settings");
        for (int i = 0; i < names.length - 1; i++) {
            element = element.isJsonArray()
                    ? element.getAsJsonArray().get(Integer.parseInt(names[i]))
                    : element.getAsJsonObject().get(names[i]);
        }
        if (value == null) {
            element.getAsJsonObject().remove(names[names.length - 1]);
        } else {
            element.getAsJsonObject().add(names[names.length - 1], JsonParser.parseString(value));
        }
        String error = assertThrows(ConfigException.class, () -> read(file)).getMessage();
        String key = ("settings." + path).replaceAll("\\.([0-9])", "[$1]");
        assertTrue(error.startsWith(key.substring(0, key.lastIndexOf('.') + 1) + message), error);
    }

    @Test
    void reportsDefaultsUsedForAbsentSettings() {
        JsonObject file = file();
        file.getAsJsonObject("settings").getAsJsonObject("Limits").remove("DialTimeoutS");
        file.getAsJsonObject("settings")
                .getAsJsonArray("RequestClasses")
                .get(1)
                .getAsJsonObject()
                .remove("LateWorth");
        file.getAsJsonObject("settings")
                .getAsJsonArray("RequestClasses")
                .get(0)
                .getAsJsonObject()
                .remove("Name");
        List<String> defaultsUsed = read(file).site().defaultsUsed();
        assertTrue(
                defaultsUsed.containsAll(List.of(
                        "settings.Limits.DialTimeoutS=0.25",
                        "settings.RequestClasses[1].LateWorth=0.0",
                        "settings.RequestClasses[0].Name=class-0")),
                defaultsUsed::toString);
        assertTrue(
                defaultsUsed.stream().noneMatch(used -> used.contains("Multiplex")),
                "a default is reported for a setting that is present");
    }

    @ParameterizedTest
    @ValueSource(strings = {"TickS", "FamilyInfo", "Limits", "Rules"})
    void errorNamesMissingSetting(String name) {
        JsonObject file = file();
        file.getAsJsonObject("settings").remove(name);
        ConfigException e = assertThrows(ConfigException.class, () -> read(file));
        assertEquals("settings." + name + ": missing", e.getMessage());
    }

    @Test
    void parsesEndpointListAsWritten() {
        Config config = read(file());
        assertEquals(
                config.known().hosts(),
                EndpointListJson.parse(EndpointListJson.write(config.known().hosts(), config.site()), config.site())
                        .hosts());
    }

    /** Reads the files under deploy/ as the program does, so that operators can rely on them. */
    @Test
    void readsFilesUnderDeploy() {
        Config config = Config.read(Config.readFile(Map.of("EDGE_CONFIG", "deploy/opensearch.json")), Map.of());
        assertEquals(
                Map.of("history", 0, "payouts", 1, "wallets", 2),
                config.openSearch().indices());
        assertTrue(config.site().scheduler().classes().stream()
                .noneMatch(queryClass -> queryClass.retrySafety() == RetrySafety.IDEMPOTENCY_KEY));
        ConfigReader daily = Config.readFile(Map.of("EDGE_CONFIG", "deploy/daily.json"));
        assertEquals(9600, Config.read(daily, Map.of()).operator().getPort());
        assertEquals(
                1,
                Config.read(daily, Map.of("EDGE_OPERATOR", "127.0.0.1:1"))
                        .operator()
                        .getPort());
        assertEquals(null, config.operator());
        ConfigReader dnsSdFile = Config.readFile(Map.of("EDGE_CONFIG", "deploy/dnssd-and-store.json"));
        assertEquals(Path.of("state/b"), Config.store(dnsSdFile).folder());
        Config dnsSdConfig = Config.read(
                dnsSdFile.with("settings", JsonParser.parseString(TestDeploymentSettings.SETTINGS)), Map.of());
        assertEquals("_ledger._tcp", dnsSdConfig.dnsSd().service());
        assertTrue(dnsSdConfig.site().scheduler().classes().stream()
                .noneMatch(queryClass -> queryClass.retrySafety() == RetrySafety.IDEMPOTENCY_KEY));
    }

    @Test
    void errorNamesFaultyKeyOfMembers() {
        String valid = "'fleet':'f','address':'127.0.0.1:7400'";
        assertEquals(6 * 0.5, members(valid).settings().suspicionTimeoutS());
        for (String[] faulty : new String[][] {
            {"members.fleet", "'fleet':'a fleet','address':'127.0.0.1:7400'"},
            {"members.address", "'fleet':'f'"},
            {"members.address", "'fleet':'f','address':'127.0.0.1:0'"},
            {"members.address", "'fleet':'f','address':'0.0.0.0:1'"},
            {"members.seeds", valid + ",'seeds':['host:1']"},
            {"members.ask", valid + ",'ask':'10.0.0.1:1'"},
            {"members.doubt_s", valid + ",'probe_s':1,'doubt_s':2"},
            {"members.agree", valid + ",'agree':0.5"},
            {"members.datagrams_per_s", valid + ",'datagrams_per_s':10"},
            {"members.bytes_per_s", valid + ",'bytes_per_s':8000"},
            {"members.most", valid + ",'most':1"},
            {"members.zone", valid + ",'zone':''"},
            {"members.seed", valid + ",'seed':1"}
        }) {
            String error = assertThrows(ConfigException.class, () -> members(faulty[1]))
                    .getMessage();
            assertTrue(error.startsWith(faulty[0] + ":"), error);
        }
    }

    private static MembersConfig members(String keys) {
        return MembersConfig.read(
                ConfigReader.of("", Config.parse(("{'name':'n','members':{" + keys + "}}").replace('\'', '"'), "")));
    }
}
