package pepperdock.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * Reads the values of a JSON object, and knows where the object stands in the file, so that every {@link ConfigException} names
 * the whole key. Immutable but for the JSON object, which nobody changes.
 */
public final class ConfigReader {

    private final String path;
    private final JsonObject object;
    private final Consumer<String> defaultListener;

    /** Of an object at a place; an empty path is the top of the file. */
    public ConfigReader(String path, JsonObject object) {
        this(path, object, defaultUsed -> {});
    }

    private ConfigReader(String path, JsonObject object, Consumer<String> defaultListener) {
        this.path = path;
        this.object = object;
        this.defaultListener = defaultListener;
    }

    /** The same object; each default that is used of it, or of an object within, is reported as KEY=VALUE. */
    public ConfigReader reportingDefaultsTo(Consumer<String> defaultListener) {
        return new ConfigReader(path, object, defaultListener);
    }

    /** Reports a default, and returns it. */
    private <T> T useDefault(String name, T defaultValue) {
        defaultListener.accept(key(name) + '=' + defaultValue);
        return defaultValue;
    }

    /** Of an element that must be an object. */
    public static ConfigReader of(String path, JsonElement element) {
        if (element == null || !element.isJsonObject()) {
            throw new ConfigException(path.isEmpty() ? "configuration" : path, "not an object");
        }
        return new ConfigReader(path, element.getAsJsonObject());
    }

    /** The whole key of a name here. */
    public String key(String name) {
        return path.isEmpty() ? name : path + '.' + name;
    }

    /** Whether a name stands here with a value other than null. */
    public boolean has(String name) {
        return object.has(name) && !object.get(name).isJsonNull();
    }

    /** The names that stand here. */
    public Set<String> names() {
        return object.keySet();
    }

    /** Rejects any name that is not among these. */
    public void only(String... names) {
        Set<String> known = Set.of(names);
        for (String name : object.keySet()) {
            if (!known.contains(name)) {
                throw new ConfigException(key(name), "unknown");
            }
        }
    }

    /** A copy with the value that another object has for a name. */
    public ConfigReader with(String name, ConfigReader other) {
        return with(name, other.need(name));
    }

    /** A copy with a value for a name. */
    public ConfigReader with(String name, JsonElement value) {
        JsonObject copy = object.deepCopy();
        copy.add(name, value);
        return new ConfigReader(path, copy);
    }

    /** The names whose values differ between two objects, those that only one of them has included. */
    public List<String> differingNames(ConfigReader other) {
        Set<String> names = new TreeSet<>(object.keySet());
        names.addAll(other.object.keySet());
        names.removeIf(name -> Objects.equals(object.get(name), other.object.get(name)));
        return List.copyOf(names);
    }

    /**
     * The first key that stands here, or in an object within, and is missing there; null where none is. Of a list of objects,
     * the keys that all of them have count: each object there must have them too.
     */
    public String firstMissingKey(ConfigReader there) {
        return firstMissingKey(path, object, there.object);
    }

    private static String firstMissingKey(String path, JsonObject here, JsonObject there) {
        for (String name : here.keySet()) {
            String key = path.isEmpty() ? name : path + '.' + name;
            JsonElement old = here.get(name);
            JsonElement now = there.get(name);
            if (old.isJsonNull()) {
                continue;
            }
            if (now == null || now.isJsonNull()) {
                return key;
            }
            String within = old.isJsonObject() && now.isJsonObject()
                    ? firstMissingKey(key, old.getAsJsonObject(), now.getAsJsonObject())
                    : old.isJsonArray() && now.isJsonArray()
                            ? firstMissingKey(key, old.getAsJsonArray(), now.getAsJsonArray())
                            : null;
            if (within != null) {
                return within;
            }
        }
        return null;
    }

    private static String firstMissingKey(String key, JsonArray here, JsonArray there) {
        Set<String> common = null;
        for (JsonElement element : here) {
            if (!element.isJsonObject()) {
                return null;
            }
            if (common == null) {
                common = new TreeSet<>(element.getAsJsonObject().keySet());
            } else {
                common.retainAll(element.getAsJsonObject().keySet());
            }
        }
        for (int i = 0; common != null && i < there.size(); i++) {
            for (String name : common) {
                if (there.get(i).isJsonObject()
                        && !there.get(i).getAsJsonObject().has(name)) {
                    return key + '[' + i + "]." + name;
                }
            }
        }
        return null;
    }

    /** A value as JSON text. */
    public String json(String name) {
        return need(name).toString();
    }

    private JsonElement need(String name) {
        if (!has(name)) {
            throw new ConfigException(key(name), "missing");
        }
        return object.get(name);
    }

    /** An object within; an empty one where it is absent. */
    public ConfigReader within(String name) {
        return has(name)
                ? of(key(name), object.get(name)).reportingDefaultsTo(defaultListener)
                : new ConfigReader(key(name), new JsonObject(), defaultListener);
    }

    /** An object within, which must be there. */
    public ConfigReader needed(String name) {
        return of(key(name), need(name)).reportingDefaultsTo(defaultListener);
    }

    /** A string, which must be there. */
    public String text(String name) {
        JsonElement element = need(name);
        if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isString()) {
            throw new ConfigException(key(name), "not a text");
        }
        return element.getAsString();
    }

    /** A string, or the default. */
    public String text(String name, String defaultValue) {
        return has(name) ? text(name) : useDefault(name, defaultValue);
    }

    /** A finite number, which must be there. */
    public double number(String name) {
        return number(key(name), need(name));
    }

    /** A finite number, or the default. */
    public double number(String name, double defaultValue) {
        return has(name) ? number(name) : useDefault(name, defaultValue);
    }

    /** An integer within bounds, which must be there. */
    public int whole(String name, int least, int most) {
        double value = number(name);
        if (value != Math.rint(value) || value < least || value > most) {
            throw new ConfigException(key(name), "not a whole number from " + least + " to " + most);
        }
        return (int) value;
    }

    /** An integer within bounds, or the default. */
    public int whole(String name, int least, int most, int defaultValue) {
        return has(name) ? whole(name, least, most) : useDefault(name, defaultValue);
    }

    /** A boolean, or the default. */
    public boolean flag(String name, boolean defaultValue) {
        if (!has(name)) {
            return useDefault(name, defaultValue);
        }
        JsonElement element = object.get(name);
        if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isBoolean()) {
            throw new ConfigException(key(name), "neither true nor false");
        }
        return element.getAsBoolean();
    }

    /** A list of objects; empty where it is absent. */
    public List<ConfigReader> objects(String name) {
        List<ConfigReader> all = new ArrayList<>();
        for (JsonElement element : array(name)) {
            all.add(of(key(name) + '[' + all.size() + ']', element).reportingDefaultsTo(defaultListener));
        }
        return all;
    }

    /** A list of strings; empty where it is absent. */
    public List<String> texts(String name) {
        List<String> all = new ArrayList<>();
        for (JsonElement element : array(name)) {
            if (!element.isJsonPrimitive()) {
                throw new ConfigException(key(name), "not a list of texts");
            }
            all.add(element.getAsString());
        }
        return all;
    }

    /** A number of a list, or the default where the list is absent or too short. */
    public double numberAt(String name, int at, double defaultValue) {
        JsonArray all = array(name);
        return at < all.size()
                ? number(key(name) + '[' + at + ']', all.get(at))
                : useDefault(name + '[' + at + ']', defaultValue);
    }

    private JsonArray array(String name) {
        if (!has(name)) {
            return new JsonArray();
        }
        if (!object.get(name).isJsonArray()) {
            throw new ConfigException(key(name), "not a list");
        }
        return object.getAsJsonArray(name);
    }

    private static double number(String key, JsonElement element) {
        if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isNumber()) {
            throw new ConfigException(key, "not a number");
        }
        try {
            double value = element.getAsDouble();
            if (!Double.isFinite(value)) {
                throw new ConfigException(key, "out of range");
            }
            return value;
        } catch (NumberFormatException wrong) {
            throw new ConfigException(key, "not a number");
        }
    }
}
