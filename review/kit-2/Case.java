import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** Runs one scenario: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
public final class Case {

    /** No run may take longer. */
    private static final double MOST_S = 112;

    /** A scenario; returns the exit status. */
    interface Scenario {
        int run(Path root, Path temp, Record record, boolean trouble) throws Exception;
    }

    private Case() {}

    /** Arguments: the scenario's class, the repository's root, a temporary folder, the record, and the value of TROUBLE. */
    public static void main(String[] args) {
        int status = 2;
        try (Record record = new Record(Path.of(args[3]))) {
            Thread watchdog = new Thread(
                    () -> {
                        try {
                            Clock.sleep(MOST_S);
                        } catch (InterruptedException e) {
                            return;
                        }
                        record.say("the case took too long");
                        Gatherer.endAll();
                        Runtime.getRuntime().halt(2);
                    },
                    "watchdog");
            watchdog.setDaemon(true);
            watchdog.start();
            Runtime.getRuntime().addShutdownHook(new Thread(Gatherer::endAll));
            Scenario scenario = (Scenario)
                    Class.forName(args[0]).getDeclaredConstructor().newInstance();
            try {
                status = scenario.run(Path.of(args[1]), Path.of(args[2]), record, !args[4].equals("0"));
            } catch (Throwable e) {
                record.say("the case could not run: %s", e);
            }
            if (status == 2) {
                copyLogs(Path.of(args[2]), record);
            }
            record.say(status == 1 ? "BROKEN" : status == 0 ? "HELD" : "COULD NOT RUN");
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(status);
    }

    /** Copies the gatherers' logs to the record: they show why a case could not run. */
    private static void copyLogs(Path temp, Record record) throws IOException {
        try (DirectoryStream<Path> logs = Files.newDirectoryStream(temp, "*.log")) {
            for (Path log : logs) {
                for (String line : Files.readAllLines(log)) {
                    record.write("%s: %s", log.getFileName(), line);
                }
            }
        }
    }
}
