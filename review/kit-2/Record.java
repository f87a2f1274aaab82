import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, in order, with its time. */
public final class Record implements AutoCloseable {

    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void write(String format, Object... values) {
        out.printf(Locale.ROOT, "%9.3f  ", Clock.now());
        out.printf(Locale.ROOT, format, values);
        out.println();
        out.flush();
    }

    /** Writes a line and prints it. */
    void say(String format, Object... values) {
        write(format, values);
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
