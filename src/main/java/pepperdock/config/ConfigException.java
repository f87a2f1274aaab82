package pepperdock.config;

/** Thrown when a configuration can't be used; the message begins with the faulty key. */
public final class ConfigException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    private final String key;

    /**
     * Creates an exception with the message {@code KEY: PROBLEM}.
     *
     * @param key the full key, from the top level of the file
     * @param problem what is wrong with its value, and what is expected
     */
    public ConfigException(String key, String problem) {
        super(key + ": " + problem);
        this.key = key;
    }

    /** Returns the faulty key in full, from the top level of the file. */
    public String key() {
        return key;
    }
}
