package pepperdock.faultinjection.overload;

/** Threads of the rig. Stateless. */
final class RigThreads {

    private RigThreads() {}

    /** Starts a task on a thread that does not keep the rig from ending. */
    static Thread start(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Waits for the end of a thread; an interrupt ends the wait and stays set. */
    static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
