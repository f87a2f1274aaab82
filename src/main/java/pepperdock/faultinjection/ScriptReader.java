package pepperdock.faultinjection;

import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.ConfigReader;
import pepperdock.faultinjection.Script.Action;
import pepperdock.faultinjection.Script.Port;

/** Reads and validates a script file; an error names the invalid key. */
final class ScriptReader {

    static final int MAX_ACTIONS = 10_000;
    private static final String[] KEYS = {
        "seed",
        "members",
        "zones",
        "machines",
        "base",
        "config",
        "own",
        "ports",
        "checkers",
        "most_s",
        "settle_s",
        "late_most_s",
        "script"
    };

    private ScriptReader() {}

    static Script read(Path file) {
        return read(file, 0);
    }

    /** Reads a script; a {@code members} above 0 overrides the file's own number of members. */
    static Script read(Path file, int members) {
        try {
            ConfigReader reader = ConfigReader.of("", Config.parse(Files.readString(file), file.toString()));
            return read(
                    members > 0 ? reader.with("members", new JsonPrimitive(members)) : reader,
                    file.toAbsolutePath().getParent());
        } catch (IOException e) {
            throw new ConfigException(file.toString(), "cannot be read");
        }
    }

    /** Reads a script; {@code folder} is the folder of the file, against which {@code base} is resolved. */
    static Script read(ConfigReader keys, Path folder) {
        keys.rejectUnknownKeys(KEYS);
        int memberCount = keys.integer("members", 1, Script.MAX_MEMBERS);
        List<String> names =
                IntStream.rangeClosed(1, memberCount).mapToObj(i -> "g" + i).toList();
        JsonObject config = config(keys, folder);
        JsonObject own = own(keys, names);
        List<Port> ports =
                keys.objects("ports").stream().map(ScriptReader::port).toList();
        List<Action> actions = actions(keys, names);
        return new Script(
                (long) keys.number("seed", 1),
                names,
                keys.has("zones") ? List.copyOf(keys.texts("zones")) : List.of("z"),
                keys.integer("machines", 1, Script.MAX_MEMBERS, memberCount),
                config,
                own,
                ports,
                List.copyOf(keys.texts("checkers")),
                seconds(keys, "most_s", 300, Script.MAX_SECONDS),
                seconds(keys, "settle_s", 60, Script.MAX_SECONDS),
                seconds(keys, "late_most_s", 1, Script.MAX_SECONDS),
                actions);
    }

    /** Returns the configuration of a member: that of {@code base}, overridden by the keys of the file itself. */
    private static JsonObject config(ConfigReader keys, Path folder) {
        JsonObject config = new JsonObject();
        if (keys.has("base")) {
            Path base = folder.resolve(keys.text("base"));
            try {
                addAll(
                        config,
                        Config.parse(Files.readString(base), keys.key("base")).getAsJsonObject());
            } catch (IOException | IllegalStateException e) {
                throw new ConfigException(keys.key("base"), "cannot read a configuration from " + base);
            }
        }
        if (keys.has("config")) {
            addAll(config, Config.parse(keys.json("config"), keys.key("config")).getAsJsonObject());
        }
        return config;
    }

    private static void addAll(JsonObject to, JsonObject from) {
        from.entrySet().forEach(e -> to.add(e.getKey(), e.getValue()));
    }

    private static JsonObject own(ConfigReader keys, List<String> names) {
        ConfigReader own = keys.optionalObject("own");
        for (String name : own.names()) {
            if (!names.contains(name)) {
                throw new ConfigException(own.key(name), "unknown member");
            }
            own.optionalObject(name);
        }
        return keys.has("own") ? Config.parse(keys.json("own"), keys.key("own")).getAsJsonObject() : new JsonObject();
    }

    private static Port port(ConfigReader keys) {
        keys.rejectUnknownKeys("name", "for");
        String kind = keys.text("for");
        if (!List.of("streams", "datagrams", "both").contains(kind)) {
            throw new ConfigException(keys.key("for"), "expected streams, datagrams or both");
        }
        return new Port(keys.text("name"), !kind.equals("datagrams"), !kind.equals("streams"));
    }

    private static List<Action> actions(ConfigReader keys, List<String> names) {
        List<Action> actions = new ArrayList<>();
        for (ConfigReader action : keys.objects("script")) {
            actions.add(new ActionReader(action, names).read());
        }
        if (actions.size() > MAX_ACTIONS) {
            throw new ConfigException(keys.key("script"), "more than " + MAX_ACTIONS + " actions");
        }
        return List.copyOf(actions);
    }

    /** Returns a number of seconds from 0 to {@code max}, or {@code defaultValue} if the key is missing. */
    static double seconds(ConfigReader keys, String name, double defaultValue, double max) {
        double seconds = keys.number(name, defaultValue);
        if (!(seconds >= 0 && seconds <= max)) {
            throw new ConfigException(keys.key(name), "must be a number of seconds from 0 to " + max);
        }
        return seconds;
    }
}
