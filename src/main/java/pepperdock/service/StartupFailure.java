package pepperdock.service;

/** Ends a program that can't start, with a line on the standard error stream. */
public final class StartupFailure {

    private StartupFailure() {}

    /** Writes the reason to the standard error stream and exits with the status. */
    public static void exit(String reason, int status) {
        System.err.println(reason);
        System.exit(status);
    }
}
