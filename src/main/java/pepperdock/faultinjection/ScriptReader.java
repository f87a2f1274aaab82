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

/** Reads a rig's file, and checks it; a complaint names the faulty key. */
final class ScriptReader {

    static final int ACTS_MOST = 10_000;
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

    /** {@code members} goes before the file's own count where it is above 0. */
    static Script read(Path file, int members) {
        try {
            ConfigReader all = ConfigReader.of("", Config.parse(Files.readString(file), file.toString()));
            return read(
                    members > 0 ? all.with("members", new JsonPrimitive(members)) : all,
                    file.toAbsolutePath().getParent());
        } catch (IOException e) {
            throw new ConfigException(file.toString(), "can't be read");
        }
    }

    /** {@code folder} is where the file lies: its {@code base} is found from there. */
    static Script read(ConfigReader k, Path folder) {
        k.rejectUnknownKeys(KEYS);
        int n = k.integer("members", 1, Script.MEMBERS_MOST);
        List<String> names = IntStream.rangeClosed(1, n).mapToObj(i -> "g" + i).toList();
        JsonObject config = config(k, folder);
        JsonObject own = own(k, names);
        List<Port> ports = k.objects("ports").stream().map(ScriptReader::port).toList();
        List<Action> acts = acts(k, names);
        return new Script(
                (long) k.number("seed", 1),
                names,
                k.has("zones") ? List.copyOf(k.texts("zones")) : List.of("z"),
                k.integer("machines", 1, Script.MEMBERS_MOST, n),
                config,
                own,
                ports,
                List.copyOf(k.texts("checkers")),
                seconds(k, "most_s", 300, Script.SECONDS_MOST),
                seconds(k, "settle_s", 60, Script.SECONDS_MOST),
                seconds(k, "late_most_s", 1, Script.SECONDS_MOST),
                acts);
    }

    /** The configuration of a member: that of {@code base}, and over it the file's own. */
    private static JsonObject config(ConfigReader k, Path folder) {
        JsonObject config = new JsonObject();
        if (k.has("base")) {
            Path base = folder.resolve(k.text("base"));
            try {
                addAll(
                        config,
                        Config.parse(Files.readString(base), k.key("base")).getAsJsonObject());
            } catch (IOException | IllegalStateException e) {
                throw new ConfigException(k.key("base"), "no configuration can be read from " + base);
            }
        }
        if (k.has("config")) {
            addAll(config, Config.parse(k.json("config"), k.key("config")).getAsJsonObject());
        }
        return config;
    }

    private static void addAll(JsonObject to, JsonObject from) {
        from.entrySet().forEach(e -> to.add(e.getKey(), e.getValue()));
    }

    private static JsonObject own(ConfigReader k, List<String> names) {
        ConfigReader own = k.optionalObject("own");
        for (String name : own.names()) {
            if (!names.contains(name)) {
                throw new ConfigException(own.key(name), "no such member");
            }
            own.optionalObject(name);
        }
        return k.has("own") ? Config.parse(k.json("own"), k.key("own")).getAsJsonObject() : new JsonObject();
    }

    private static Port port(ConfigReader p) {
        p.rejectUnknownKeys("name", "for");
        String kind = p.text("for");
        if (!List.of("streams", "datagrams", "both").contains(kind)) {
            throw new ConfigException(p.key("for"), "neither streams, datagrams nor both");
        }
        return new Port(p.text("name"), !kind.equals("datagrams"), !kind.equals("streams"));
    }

    private static List<Action> acts(ConfigReader k, List<String> names) {
        List<Action> acts = new ArrayList<>();
        for (ConfigReader act : k.objects("script")) {
            acts.add(new ActReader(act, names).read());
        }
        if (acts.size() > ACTS_MOST) {
            throw new ConfigException(k.key("script"), "more than " + ACTS_MOST + " acts");
        }
        return List.copyOf(acts);
    }

    /** A number of seconds from 0 to {@code most}; {@code otherwise} where there is none. */
    static double seconds(ConfigReader k, String name, double otherwise, double most) {
        double s = k.number(name, otherwise);
        if (!(s >= 0 && s <= most)) {
            throw new ConfigException(k.key(name), "not a number of seconds from 0 to " + most);
        }
        return s;
    }
}
