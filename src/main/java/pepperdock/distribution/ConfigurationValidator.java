package pepperdock.distribution;

import java.util.Optional;

/** Validates a complete configuration before it is put in force. */
public interface ConfigurationValidator {

    /** What is wrong with it; empty where it may be put in force. */
    Optional<String> complaint(ConfigurationSnapshot configuration);
}
