/** Seconds on a clock that does not jump. */
final class Clock {
    private static final long START = System.nanoTime();

    private Clock() {}

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static void sleep(double seconds) throws InterruptedException {
        if (seconds > 0) {
            Thread.sleep((long) (seconds * 1e3), (int) (seconds * 1e9 % 1e6));
        }
    }
}
