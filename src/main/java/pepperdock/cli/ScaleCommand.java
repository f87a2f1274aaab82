package pepperdock.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** What is measured towards far more gatherers and workers than are in service. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "Measure towards far more gatherers and workers than are in service.",
        subcommands = {ScaleConfigCommand.class, ScaleStreamsCommand.class})
final class ScaleCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }
}
