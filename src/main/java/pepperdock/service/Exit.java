package pepperdock.service;

/** Ends the program where it can't start, with a line on the standard error stream. */
public final class Exit {

    private Exit() {}

    /** Writes {@code why} to the standard error stream and ends with that status. */
    public static void because(String why, int status) {
        System.err.println(why);
        System.exit(status);
    }
}
