package pepperdock.distribution;

import java.util.Optional;

/** Validates a complete configuration before it is put in force. */
public interface Validator {

    /** What is wrong with it; empty where it may be put in force. */
    Optional<String> complaint(Configuration configuration);
}
