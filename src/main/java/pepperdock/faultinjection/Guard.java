package pepperdock.faultinjection;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A shell beside the rig that sends signals to the rig's own children, and kills those left when the rig is gone, however it
 * went: its standard input then ends. Java can end a process, but neither stop one nor be sure of an end of its own.
 */
final class Guard implements AutoCloseable {

    private static final String SHELL = """
            trap '' INT TERM HUP
            own=' '
            while read -r what pids; do
              case $what in
                add) own="$own$pids " ;;
                del) rest=' '; for p in $own; do [ "$p" = "$pids" ] || rest="$rest$p "; done; own=$rest ;;
                *) kill -"$what" $pids ;;
              esac
              echo done
            done
            for p in $own; do kill -KILL "$p"; done
            """;

    private final Process shell;
    private final Writer in;
    private final BufferedReader out;

    Guard() throws IOException {
        shell = new ProcessBuilder("sh", "-c", SHELL)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        in = shell.outputWriter(StandardCharsets.US_ASCII);
        out = new BufferedReader(new InputStreamReader(shell.getInputStream(), StandardCharsets.US_ASCII));
    }

    /** From now on this process is ended with the rig. */
    void add(long pid) throws IOException {
        say("add " + pid);
    }

    /** This process has ended and been seen to: its number may come to stand for another. */
    void gone(long pid) throws IOException {
        say("del " + pid);
    }

    /** Sends a signal to all of them in one go; back when it is sent. */
    void signal(String signal, List<Long> pids) throws IOException {
        if (!pids.isEmpty()) {
            say(signal + ' ' + pids.stream().map(String::valueOf).collect(Collectors.joining(" ")));
        }
    }

    private synchronized void say(String line) throws IOException {
        in.write(line + '\n');
        in.flush();
        if (out.readLine() == null) {
            throw new IOException("the shell that guards the children has ended");
        }
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
