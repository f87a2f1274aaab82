package pepperdock.cli;

import java.io.PrintWriter;
import java.util.Map;
import java.util.concurrent.Callable;
import pepperdock.config.Config;
import pepperdock.config.ConfigException;
import pepperdock.config.ConfigReader;
import pepperdock.config.StoreConfig;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The commands other than {@code serve}, {@code drill} and {@code rehearse}, which {@code Main} starts without loading
 * picocli or any class of this package. Exit status: 0 done, 1 failed, 2 faulty input or usage, 3 no solution.
 */
@Command(
        name = "pepperdock",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "A gatherer for sharded queries, and its tools.",
        subcommands = {
            PlanCommand.class,
            MembersCommand.class,
            LabCommand.class,
            Cli.ConfigCommand.class,
            GenerateCompletion.class
        },
        exitCodeListHeading = "Exit status:%n",
        exitCodeList = {"0:done", "1:failed", "2:faulty input or usage", "3:no solution"},
        synopsisSubcommandLabel = "COMMAND")
public final class Cli extends CommandGroup {

    static final int FAULTY_INPUT = 2;
    static final int NO_SOLUTION = 3;

    /**
     * Commands that take no arguments and that {@code Main} starts before any class of this package is loaded; listed
     * here for the help.
     */
    private static final String[][] COMMANDS_OF_MAIN = {
        {"serve", "Run a gatherer with the configuration file that EDGE_CONFIG names."},
        {"drill", "Speak the protocol of the simulator over standard input and output."},
        {"rehearse", "Run briefly against stub servers, to train the class archive of the build."},
    };

    private Cli() {}

    /** Runs the command that the arguments name, without ending the JVM, and returns the exit status. */
    public static int run(String[] args, PrintWriter out, PrintWriter err) {
        CommandLine commandLine = new CommandLine(new Cli());
        for (String[] command : COMMANDS_OF_MAIN) {
            CommandSpec help = CommandSpec.wrapWithoutInspection((Callable<Integer>) () -> {
                err.println("pepperdock " + command[0] + " takes no arguments");
                return FAULTY_INPUT;
            });
            help.mixinStandardHelpOptions(true)
                    .versionProvider(new Version())
                    .usageMessage()
                    .description(command[1]);
            commandLine.addSubcommand(command[0], help);
        }
        return commandLine
                .setOut(out)
                .setErr(err)
                .setExecutionExceptionHandler((e, failedCommand, parseResult) -> {
                    if (e instanceof ConfigException) {
                        err.println(e.getMessage());
                        return FAULTY_INPUT;
                    }
                    err.println("failed: " + e);
                    return 1;
                })
                .execute(args);
    }

    /** Provides the version that the build wrote into the jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Cli.class.getPackage().getImplementationVersion();
            return new String[] {"pepperdock " + (version == null ? "(not from a jar)" : version)};
        }
    }

    /** The group of commands for configuration files. */
    @Command(
            name = "config",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Work with configuration files.",
            subcommands = ConfigCommand.Check.class)
    static final class ConfigCommand extends CommandGroup {

        /** Reads and checks a configuration file as {@code serve} does. */
        @Command(
                name = "check",
                mixinStandardHelpOptions = true,
                versionProvider = Version.class,
                description =
                        "Check a configuration file" + " as serve does, and print the faulty key if there is one.")
        static final class Check implements Callable<Integer> {

            @Parameters(paramLabel = "FILE", description = "The configuration file, as in EDGE_CONFIG.")
            private String file;

            @Spec
            private CommandSpec spec;

            @Override
            public Integer call() {
                ConfigReader configuration = Config.readFile(Map.of("EDGE_CONFIG", file));
                StoreConfig store = Config.store(configuration);
                if (configuration.has("settings") || store == null) {
                    Config.read(configuration, Map.of());
                    spec.commandLine().getOut().println(file + ": valid");
                } else {
                    spec.commandLine()
                            .getOut()
                            .println(file
                                    + ": valid without its settings, which come from the store and were not checked");
                }
                return 0;
            }
        }
    }
}
