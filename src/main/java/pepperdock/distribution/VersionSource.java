package pepperdock.distribution;

import java.util.List;

/** The source of the committed versions that a publisher sends: the committed log of its control machine. */
public interface VersionSource {

    /** Returns the configurations committed after this version that this machine knows, oldest first. */
    List<ConfigurationSnapshot> after(ConfigurationVersion version);

    /**
     * Returns when this machine last knew that no version newer than its own was committed, in milliseconds of the
     * caller's clock.
     */
    long confirmedAtMillis();
}
