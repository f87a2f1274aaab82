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

/**
 * Entry point of the program. {@code serve} runs a gatherer, {@code drill} runs the scheduler on the simulator's
 * protocol, {@code rehearse} runs {@link ClassArchiveTraining}, and all other commands go to {@link Cli}.
 */
public final class Main {

    static {
        LogLine.install();
    }

    /**
     * Created after the log is configured, because the first logger requested determines how the JDK reads its
     * configuration.
     */
    private static final System.Logger LOG = System.getLogger("pepperdock");

    private Main() {}

    /** Runs the command given by the arguments; the exit status is 0 on success. */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "drill" -> System.exit(new SimulatorAdapter(System.in, System.out, System.err).run());
            case "serve" -> {
                try {
                    Startup.open(System.getenv());
                } catch (ConfigException e) {
                    StartupFailure.exit("configuration: " + e.getMessage(), 2);
                } catch (IOException e) {
                    StartupFailure.exit("can't start: " + e.getMessage(), 1);
                } catch (RuntimeException e) {
                    // Without an exit, the event loop's thread would keep a process alive that serves no clients.
                    LOG.log(System.Logger.Level.ERROR, "can't start", e);
                    System.exit(1);
                }
            }
            case "rehearse" -> {
                try {
                    ClassArchiveTraining.run();
                } catch (IOException | RuntimeException e) {
                    // Not fatal: without the archive from this run the program only starts more slowly.
                    StartupFailure.exit("class archive training failed: " + e, 1);
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
