package pepperdock.config;

/** Configuration that can't be used; the message begins with the faulty key. */
public final class ConfigException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    private final String key;

    /**
     * Makes the message {@code KEY: COMPLAINT}.
     *
     * @param key the whole key, from the top of the file
     */
    public ConfigException(String key, String complaint) {
        super(key + ": " + complaint);
        this.key = key;
    }

    /** The faulty key, from the top of the file. */
    public String key() {
        return key;
    }
}
