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
 * Reads values of a JSON object of a configuration file. It knows the path of the object in the file, so that every
 * {@link ConfigException} names the full key. Immutable, as the JSON object is never changed.
 */
public final class ConfigReader {

    private final String path;
    private final JsonObject object;
    private final Consumer<String> defaultListener;

    /** Creates a reader of the object at the given path; an empty path is the top level of the file. */
    public ConfigReader(String path, JsonObject object) {
        this(path, object, defaultUsed -> {});
    }

    private ConfigReader(String path, JsonObject object, Consumer<String> defaultListener) {
        this.path = path;
        this.object = object;
        this.defaultListener = defaultListener;
    }

    /**
     * Returns a reader of the same object that reports each default used, in this object or one nested in it, to the
     * listener as KEY=VALUE.
     */
    public ConfigReader reportingDefaultsTo(Consumer<String> defaultListener) {
        return new ConfigReader(path, object, defaultListener);
    }

    /** Reports that a default is used, and returns it. */
    private <T> T useDefault(String name, T defaultValue) {
        defaultListener.accept(key(name) + '=' + defaultValue);
        return defaultValue;
    }

    /**
     * Returns a reader of an element at the given path.
     *
     * @throws ConfigException if the element is absent or not an object
     */
    public static ConfigReader of(String path, JsonElement element) {
        if (element == null || !element.isJsonObject()) {
            throw new ConfigException(path.isEmpty() ? "configuration" : path, "must be a JSON object");
        }
        return new ConfigReader(path, element.getAsJsonObject());
    }

    /** Returns the full key, from the top level of the file, of a name in this object. */
    public String key(String name) {
        return path.isEmpty() ? name : path + '.' + name;
    }

    /** Returns whether this object has a value other than null for the name. */
    public boolean has(String name) {
        return object.has(name) && !object.get(name).isJsonNull();
    }

    /** Returns the names in this object, those with the value null included. */
    public Set<String> names() {
        return object.keySet();
    }

    /** Throws a {@link ConfigException} if this object has a name that is not among these. */
    public void rejectUnknownKeys(String... names) {
        Set<String> known = Set.of(names);
        for (String name : object.keySet()) {
            if (!known.contains(name)) {
                throw new ConfigException(key(name), "unknown");
            }
        }
    }

    /** Returns a copy in which a name has the value that it has in another object. */
    public ConfigReader with(String name, ConfigReader other) {
        return with(name, other.need(name));
    }

    /** Returns a copy in which a name has the given value. */
    public ConfigReader with(String name, JsonElement value) {
        JsonObject copy = object.deepCopy();
        copy.add(name, value);
        return new ConfigReader(path, copy);
    }

    /** Returns the names whose values differ between this object and the other, or that only one of them has. */
    public List<String> differingNames(ConfigReader other) {
        Set<String> names = new TreeSet<>(object.keySet());
        names.addAll(other.object.keySet());
        names.removeIf(name -> Objects.equals(object.get(name), other.object.get(name)));
        return List.copyOf(names);
    }

    /**
     * Returns the first key in this object, or in an object nested in it, that the other object lacks; null if there is
     * none. In a list of objects only the keys that all of them have are compared: each object of the other list must
     * have them too.
     */
    public String firstMissingKey(ConfigReader other) {
        return firstMissingKey(path, object, other.object);
    }

    private static String firstMissingKey(String path, JsonObject current, JsonObject other) {
        for (String name : current.keySet()) {
            String key = path.isEmpty() ? name : path + '.' + name;
            JsonElement currentValue = current.get(name);
            JsonElement otherValue = other.get(name);
            if (currentValue.isJsonNull()) {
                continue;
            }
            if (otherValue == null || otherValue.isJsonNull()) {
                return key;
            }
            String missing = currentValue.isJsonObject() && otherValue.isJsonObject()
                    ? firstMissingKey(key, currentValue.getAsJsonObject(), otherValue.getAsJsonObject())
                    : currentValue.isJsonArray() && otherValue.isJsonArray()
                            ? firstMissingKey(key, currentValue.getAsJsonArray(), otherValue.getAsJsonArray())
                            : null;
            if (missing != null) {
                return missing;
            }
        }
        return null;
    }

    private static String firstMissingKey(String key, JsonArray current, JsonArray other) {
        Set<String> common = null;
        for (JsonElement element : current) {
            if (!element.isJsonObject()) {
                return null;
            }
            if (common == null) {
                common = new TreeSet<>(element.getAsJsonObject().keySet());
            } else {
                common.retainAll(element.getAsJsonObject().keySet());
            }
        }
        for (int i = 0; common != null && i < other.size(); i++) {
            for (String name : common) {
                if (other.get(i).isJsonObject()
                        && !other.get(i).getAsJsonObject().has(name)) {
                    return key + '[' + i + "]." + name;
                }
            }
        }
        return null;
    }

    /** Returns a value, which must be present, as JSON text. */
    public String json(String name) {
        return need(name).toString();
    }

    private JsonElement need(String name) {
        if (!has(name)) {
            throw new ConfigException(key(name), "missing");
        }
        return object.get(name);
    }

    /** Returns a reader of a nested object, or of an empty object if it is absent. */
    public ConfigReader optionalObject(String name) {
        return has(name)
                ? of(key(name), object.get(name)).reportingDefaultsTo(defaultListener)
                : new ConfigReader(key(name), new JsonObject(), defaultListener);
    }

    /** Returns a reader of a nested object, which must be present. */
    public ConfigReader requiredObject(String name) {
        return of(key(name), need(name)).reportingDefaultsTo(defaultListener);
    }

    /** Returns a string, which must be present. */
    public String text(String name) {
        JsonElement element = need(name);
        if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isString()) {
            throw new ConfigException(key(name), "must be a string");
        }
        return element.getAsString();
    }

    /** Returns a string, or the default if it is absent. */
    public String text(String name, String defaultValue) {
        return has(name) ? text(name) : useDefault(name, defaultValue);
    }

    /** Returns a finite number, which must be present. */
    public double number(String name) {
        return number(key(name), need(name));
    }

    /** Returns a finite number, or the default if it is absent. */
    public double number(String name, double defaultValue) {
        return has(name) ? number(name) : useDefault(name, defaultValue);
    }

    /** Returns an integer within the bounds, both included, which must be present. */
    public int integer(String name, int min, int max) {
        double value = number(name);
        if (value != Math.rint(value) || value < min || value > max) {
            throw new ConfigException(
                    key(name), "must be a whole number from " + min + " to " + max + ", but is " + value);
        }
        return (int) value;
    }

    /** Returns an integer within the bounds, both included, or the default if it is absent. */
    public int integer(String name, int min, int max, int defaultValue) {
        return has(name) ? integer(name, min, max) : useDefault(name, defaultValue);
    }

    /** Returns a boolean, or the default if it is absent. */
    public boolean flag(String name, boolean defaultValue) {
        if (!has(name)) {
            return useDefault(name, defaultValue);
        }
        JsonElement element = object.get(name);
        if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isBoolean()) {
            throw new ConfigException(key(name), "must be true or false");
        }
        return element.getAsBoolean();
    }

    /** Returns a reader of each object of a list; an absent list is empty. */
    public List<ConfigReader> objects(String name) {
        List<ConfigReader> readers = new ArrayList<>();
        for (JsonElement element : array(name)) {
            readers.add(of(key(name) + '[' + readers.size() + ']', element).reportingDefaultsTo(defaultListener));
        }
        return readers;
    }

    /** Returns a list of strings; an absent list is empty. */
    public List<String> texts(String name) {
        List<String> values = new ArrayList<>();
        for (JsonElement element : array(name)) {
            if (!element.isJsonPrimitive()) {
                throw new ConfigException(key(name), "must be a list of strings");
            }
            values.add(element.getAsString());
        }
        return values;
    }

    /** Returns the number at an index of a list, or the default if the list is absent or too short. */
    public double numberAt(String name, int index, double defaultValue) {
        JsonArray values = array(name);
        return index < values.size()
                ? number(key(name) + '[' + index + ']', values.get(index))
                : useDefault(name + '[' + index + ']', defaultValue);
    }

    private JsonArray array(String name) {
        if (!has(name)) {
            return new JsonArray();
        }
        if (!object.get(name).isJsonArray()) {
            throw new ConfigException(key(name), "must be a list");
        }
        return object.getAsJsonArray(name);
    }

    private static double number(String key, JsonElement element) {
        if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isNumber()) {
            throw new ConfigException(key, "must be a number");
        }
        try {
            double value = element.getAsDouble();
            if (!Double.isFinite(value)) {
                throw new ConfigException(key, "must be a finite number");
            }
            return value;
        } catch (NumberFormatException e) {
            throw new ConfigException(key, "must be a number");
        }
    }
}
