package pepperdock.distribution;

import java.util.List;

/** The settled versions that a publisher sends: the committed log of its control machine. */
public interface VersionSource {

    /** The configurations settled after that version and known to this machine, oldest first. */
    List<ConfigurationSnapshot> after(ConfigurationVersion version);

    /** When this machine last knew that nothing newer than what it holds was settled; milliseconds of the caller's clock. */
    long confirmedAtMillis();
}
