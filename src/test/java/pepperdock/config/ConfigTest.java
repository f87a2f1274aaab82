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
        JsonObject o = JsonParser.parseString("""
                {"name":"n3","listen":"127.0.0.4:8000","discovery":"127.0.0.1:8500","seed":"ffffffffffffffff",
                 "limits":{"sockets":4096},"known":{"seq":41,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.9:1",
                 "site":"room","class":"std","block":3,"health":"terminating","share":1.0,"born_ms":1500}]}}""").getAsJsonObject();
        o.add("settings", JsonParser.parseString(TestDeploymentSettings.SETTINGS));
        return o;
    }

    private static Config read(JsonObject file) {
        return Config.read(new ConfigReader("", file), Map.of());
    }

    @Test
    void aPlatformFileIsReadWithItsDefaults() {
        Config c = read(file());
        assertEquals(
                "n3 8000 8500 -1",
                c.name() + ' ' + c.listen().getPort() + ' ' + c.discovery().getPort() + ' ' + c.seed());
        assertEquals(
                List.of(new WorkerEndpoint("s", "127.0.0.9:1", 0, 0, 3, EndpointState.DRAINING, 1, 1.5)),
                c.known().hosts());
        assertNull(c.openSearch());
        assertNull(c.dnsSd());
        assertEquals(40, c.site().scheduler().limits().maxQueriesAndParts());
        assertEquals(
                "n9",
                Config.read(new ConfigReader("", file()), Map.of("EDGE_NAME", "n9"))
                        .name());
    }

    /** Each line: where to put which value, and the key that the message must name. */
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
    void aFaultyKeyIsNamed(String key, String value, String named) {
        JsonObject file = file();
        file.add(key, JsonParser.parseString(value));
        ConfigException e = assertThrows(ConfigException.class, () -> read(file));
        assertTrue(e.getMessage().startsWith(named + ":"), e.getMessage());
    }

    /** Each line: a setting's place, the value put there (none: taken out), and the message. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "RequestClasses.0.GoalTimeS|4|GoalTimeS: not above 0, or past DeadlineS",
                "RequestClasses.0.GoalTimeS|1e999|GoalTimeS: out of range",
                "RequestClasses.1.DeadlineS|0|DeadlineS: not above 0",
                "RequestClasses.2.WindowS||WindowS: missing",
                "RequestClasses.2.WindowS|-1|WindowS: below 0",
                "RequestClasses.1.Name|\"\"|Name: empty, or of another class",
                "RequestClasses.2.Name|\"payout-report\"|Name: empty, or of another class",
                "RequestClasses.0.Effect|\"safe\"|Effect: unknown effect safe",
                "RequestClasses.0.Worth|-1|Worth: below 0",
                "FamilyInfo.FloorByClass|[0.6,1.5,1]|FloorByClass[1]: not above 0 and up to what is needed",
                "FamilyInfo.SecondStep|[0,0.5,0]|SecondStep[1]: not a whole number from 0",
                "FamilyInfo.Span|5|Span: not a whole number from 1 to 4",
                "FamilyInfo.Slices||Slices: missing",
                "Limits.MaxAttempts|0|MaxAttempts: not a whole number from 1 to 65536",
                "Limits.Multiplex|0.5|Multiplex: not a whole number",
                "Rules.ColdFrom|0|ColdFrom: not above 0 and up to 1",
                "Rules.WarmUpS|-1|WarmUpS: below 0",
                "TickS|0|TickS: not above 0",
                "RequestClasses|[]|RequestClasses: none",
                "Limits.Cancel|1|Cancel: neither true nor false"
            })
    void aFaultySettingIsNamed(String place, String value, String message) {
        JsonObject file = file();
        String[] way = place.split("\\.");
        com.google.gson.JsonElement at = file.get("settings");
        for (int i = 0; i < way.length - 1; i++) {
            at = at.isJsonArray()
                    ? at.getAsJsonArray().get(Integer.parseInt(way[i]))
                    : at.getAsJsonObject().get(way[i]);
        }
        if (value == null) {
            at.getAsJsonObject().remove(way[way.length - 1]);
        } else {
            at.getAsJsonObject().add(way[way.length - 1], JsonParser.parseString(value));
        }
        String said = assertThrows(ConfigException.class, () -> read(file)).getMessage();
        String where = ("settings." + place).replaceAll("\\.([0-9])", "[$1]");
        assertTrue(said.startsWith(where.substring(0, where.lastIndexOf('.') + 1) + message), said);
    }

    @Test
    void whatStandsInForAnAbsentSettingIsTold() {
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
        List<String> told = read(file).site().defaultsUsed();
        assertTrue(
                told.containsAll(List.of(
                        "settings.Limits.DialTimeoutS=0.25",
                        "settings.RequestClasses[1].LateWorth=0.0",
                        "settings.RequestClasses[0].Name=class-0")),
                told::toString);
        assertTrue(told.stream().noneMatch(t -> t.contains("Multiplex")), "given, so not told");
    }

    @ParameterizedTest
    @ValueSource(strings = {"TickS", "FamilyInfo", "Limits", "Rules"})
    void aMissingSettingIsNamed(String name) {
        JsonObject file = file();
        file.getAsJsonObject("settings").remove(name);
        ConfigException e = assertThrows(ConfigException.class, () -> read(file));
        assertEquals("settings." + name + ": missing", e.getMessage());
    }

    @Test
    void aListThatWasWrittenIsReadTheSame() {
        Config c = read(file());
        assertEquals(
                c.known().hosts(),
                EndpointListJson.parse(EndpointListJson.write(c.known().hosts(), c.site()), c.site())
                        .hosts());
    }

    /** The operator's files must stay usable: read here as the program reads them. */
    @Test
    void theFilesUnderDeployAreSound() {
        Config c = Config.read(Config.file(Map.of("EDGE_CONFIG", "deploy/opensearch.json")), Map.of());
        assertEquals(
                Map.of("history", 0, "payouts", 1, "wallets", 2), c.openSearch().indices());
        assertTrue(
                c.site().scheduler().classes().stream().noneMatch(k -> k.retrySafety() == RetrySafety.IDEMPOTENCY_KEY));
        ConfigReader daily = Config.file(Map.of("EDGE_CONFIG", "deploy/daily.json"));
        assertEquals(9600, Config.read(daily, Map.of()).operator().getPort());
        assertEquals(
                1,
                Config.read(daily, Map.of("EDGE_OPERATOR", "127.0.0.1:1"))
                        .operator()
                        .getPort());
        assertEquals(null, c.operator());
        ConfigReader second = Config.file(Map.of("EDGE_CONFIG", "deploy/dnssd-and-store.json"));
        assertEquals(Path.of("state/b"), Config.store(second).folder());
        Config d =
                Config.read(second.with("settings", JsonParser.parseString(TestDeploymentSettings.SETTINGS)), Map.of());
        assertEquals("_ledger._tcp", d.dnsSd().service());
        assertTrue(
                d.site().scheduler().classes().stream().noneMatch(k -> k.retrySafety() == RetrySafety.IDEMPOTENCY_KEY));
    }

    @Test
    void eachFaultyKeyOfMembersIsNamed() {
        String sound = "'fleet':'f','address':'127.0.0.1:7400'";
        assertEquals(6 * 0.5, members(sound).settings().suspicionTimeoutS());
        for (String[] bad : new String[][] {
            {"members.fleet", "'fleet':'a fleet','address':'127.0.0.1:7400'"},
            {"members.address", "'fleet':'f'"},
            {"members.address", "'fleet':'f','address':'127.0.0.1:0'"},
            {"members.address", "'fleet':'f','address':'0.0.0.0:1'"},
            {"members.seeds", sound + ",'seeds':['host:1']"},
            {"members.ask", sound + ",'ask':'10.0.0.1:1'"},
            {"members.doubt_s", sound + ",'probe_s':1,'doubt_s':2"},
            {"members.agree", sound + ",'agree':0.5"},
            {"members.datagrams_per_s", sound + ",'datagrams_per_s':10"},
            {"members.bytes_per_s", sound + ",'bytes_per_s':8000"},
            {"members.most", sound + ",'most':1"},
            {"members.zone", sound + ",'zone':''"},
            {"members.seed", sound + ",'seed':1"}
        }) {
            String said =
                    assertThrows(ConfigException.class, () -> members(bad[1])).getMessage();
            assertTrue(said.startsWith(bad[0] + ":"), said);
        }
    }

    private static MembersConfig members(String keys) {
        return MembersConfig.read(
                ConfigReader.of("", Config.parse(("{'name':'n','members':{" + keys + "}}").replace('\'', '"'), "")));
    }
}
