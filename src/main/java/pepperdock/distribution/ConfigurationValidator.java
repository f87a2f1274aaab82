package pepperdock.distribution;

import java.util.Optional;

/** Validates a complete configuration before it is put in force. */
public interface ConfigurationValidator {

    /** Returns why the configuration is invalid; empty if it may be put in force. */
    Optional<String> validationError(ConfigurationSnapshot configuration);
}
