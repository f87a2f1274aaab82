package pepperdock.cli;

import picocli.CommandLine.Option;

/** The option for the size of the configuration, shared by the commands that distribute one. */
final class ConfigurationSizeOption {

    @Option(
            names = "--bytes",
            paramLabel = "N",
            defaultValue = "40000",
            description = "Approximate size of the configuration in bytes. Default: ${DEFAULT-VALUE}")
    private int bytes;

    /** Returns the approximate size of the configuration in bytes. */
    int bytes() {
        return bytes;
    }
}
