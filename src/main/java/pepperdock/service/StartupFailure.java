package pepperdock.service;

/** Ends the program where it can't start, with a line on the standard error stream. */
public final class StartupFailure {

    private StartupFailure() {}

    /** Writes {@code why} to the standard error stream and ends with that status. */
    public static void exit(String why, int status) {
        System.err.println(why);
        System.exit(status);
    }
}
