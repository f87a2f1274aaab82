package pepperdock.faultinjection;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A shell process that sends signals to the child processes of the rig, and kills the remaining ones when the rig ends
 * in any way, which closes the standard input of the shell. Java can kill a process, but cannot send SIGSTOP, and
 * cannot run code of its own when it is killed.
 */
public final class ChildProcessGuard implements AutoCloseable {

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

    /** Starts the guard. */
    public ChildProcessGuard() throws IOException {
        shell = new ProcessBuilder("sh", "-c", SHELL)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        in = shell.outputWriter(StandardCharsets.US_ASCII);
        out = new BufferedReader(new InputStreamReader(shell.getInputStream(), StandardCharsets.US_ASCII));
    }

    /** Registers a process that is killed when the rig ends. */
    public void add(long pid) throws IOException {
        say("add " + pid);
    }

    /** Removes a process that has ended and been reaped: its id may be reused by another process. */
    public void gone(long pid) throws IOException {
        say("del " + pid);
    }

    /** Sends a signal to all these processes at once; returns when it is sent. */
    public void signal(String signal, List<Long> pids) throws IOException {
        if (!pids.isEmpty()) {
            say(signal + ' ' + pids.stream().map(String::valueOf).collect(Collectors.joining(" ")));
        }
    }

    private synchronized void say(String line) throws IOException {
        in.write(line + '\n');
        in.flush();
        if (out.readLine() == null) {
            throw new IOException("the guard shell of the child processes has ended");
        }
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
