package pepperdock.cli;

import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that only groups subcommands; to run it without one is a usage error. */
abstract class CommandGroup implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public final void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "no subcommand given");
    }
}
