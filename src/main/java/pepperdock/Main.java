package pepperdock;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.Charset;
import pepperdock.cli.Cli;
import pepperdock.config.ConfigException;
import pepperdock.service.Startup;
import pepperdock.service.StartupFailure;
import pepperdock.simulator.SimulatorAdapter;

/** The command line: {@code serve} is one gatherer, {@code drill} the simulator's wire. */
public final class Main {

    static {
        LogLine.install();
    }

    /** After the log is set up: the first logger asked for decides how the JDK reads its set-up. */
    private static final System.Logger LOG = System.getLogger("pepperdock");

    private Main() {}
    /** Runs the command that the arguments name; the exit status is 0 on success. */
    public static void main(String[] args) {
        String what = args.length == 1 ? args[0] : "";
        switch (what) {
            case "drill" -> System.exit(new SimulatorAdapter(System.in, System.out, System.err).run());
            case "serve" -> {
                try {
                    Startup.open(System.getenv());
                } catch (ConfigException e) {
                    StartupFailure.exit("configuration: " + e.getMessage(), 2);
                } catch (IOException e) {
                    StartupFailure.exit("can't start: " + e.getMessage(), 1);
                } catch (RuntimeException e) {
                    // The loop's thread would otherwise keep a program going that serves nobody.
                    LOG.log(System.Logger.Level.ERROR, "can't start", e);
                    System.exit(1);
                }
            }
            case "rehearse" -> {
                try {
                    ClassArchiveTraining.run();
                } catch (IOException | RuntimeException e) {
                    // Without the archive of this run the program starts more slowly, and that is all.
                    StartupFailure.exit("class archive training: " + e, 1);
                }
                System.exit(0);
            }
            default -> System.exit(Cli.run(args, writer(System.out), writer(System.err)));
        }
    }

    private static PrintWriter writer(PrintStream stream) {
        return new PrintWriter(stream, true, Charset.defaultCharset());
    }
}
