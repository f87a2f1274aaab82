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
 * The command line beyond {@code serve} and {@code drill}, which the program starts without it: nothing here, nor picocli,
 * is loaded by them. Exit status: 0 done, 1 failed, 2 faulty input or usage, 3 no solution.
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

    static final int FAULTY = 2;
    static final int NO_SOLUTION = 3;

    /** What {@code Main} starts itself, without arguments, before any class of this package is loaded; here for the help. */
    private static final String[][] PROGRAMS = {
        {"serve", "Be one gatherer, by the file that EDGE_CONFIG names."},
        {"drill", "Speak the simulator's wire over standard input and output."},
        {"rehearse", "Live a short life against stand-ins, for the build's class archive."},
    };

    private Cli() {}

    /** Runs what the arguments name, without ending the JVM; returns the exit status. */
    public static int run(String[] args, PrintWriter out, PrintWriter err) {
        CommandLine line = new CommandLine(new Cli());
        for (String[] program : PROGRAMS) {
            CommandSpec help = CommandSpec.wrapWithoutInspection((Callable<Integer>) () -> {
                err.println("pepperdock " + program[0] + " takes no arguments");
                return FAULTY;
            });
            help.mixinStandardHelpOptions(true)
                    .versionProvider(new Version())
                    .usageMessage()
                    .description(program[1]);
            line.addSubcommand(program[0], help);
        }
        return line.setOut(out)
                .setErr(err)
                .setExecutionExceptionHandler((e, at, parsed) -> {
                    if (e instanceof ConfigException) {
                        err.println(e.getMessage());
                        return FAULTY;
                    }
                    err.println("failed: " + e);
                    return 1;
                })
                .execute(args);
    }

    /** The version that the build wrote into the jar. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Cli.class.getPackage().getImplementationVersion();
            return new String[] {"pepperdock " + (version == null ? "(not from a jar)" : version)};
        }
    }

    /** Of configuration files. */
    @Command(
            name = "config",
            mixinStandardHelpOptions = true,
            versionProvider = Version.class,
            description = "Look at configuration files.",
            subcommands = ConfigCommand.Check.class)
    static final class ConfigCommand extends CommandGroup {

        /** Reads a file as {@code serve} would. */
        @Command(
                name = "check",
                mixinStandardHelpOptions = true,
                versionProvider = Version.class,
                description = "Read a file as serve" + " does; name the faulty key, or say that there is none.")
        static final class Check implements Callable<Integer> {

            @Parameters(paramLabel = "FILE", description = "A configuration file, as EDGE_CONFIG names it.")
            private String file;

            @Spec
            private CommandSpec spec;

            @Override
            public Integer call() {
                ConfigReader all = Config.file(Map.of("EDGE_CONFIG", file));
                StoreConfig store = Config.store(all);
                if (all.has("settings") || store == null) {
                    Config.read(all, Map.of());
                    spec.commandLine().getOut().println(file + ": sound");
                } else {
                    spec.commandLine()
                            .getOut()
                            .println(file + ": sound as far as it goes; its settings come from the store");
                }
                return 0;
            }
        }
    }
}
