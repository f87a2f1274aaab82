package pepperdock.cli;

import picocli.CommandLine.Option;

/** The size of the distributed configuration, for the commands that distribute one. */
final class ConfigurationSizeOption {

    @Option(
            names = "--bytes",
            paramLabel = "N",
            defaultValue = "40000",
            description = "Of the configuration, about. Default: ${DEFAULT-VALUE}")
    private int bytes;

    /** Approximate size of the configuration in bytes. */
    int bytes() {
        return bytes;
    }
}
