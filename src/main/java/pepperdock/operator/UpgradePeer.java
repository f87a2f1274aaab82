package pepperdock.operator;

/** The other process of an upgrade, as seen by a graceful shutdown. Used on the loop's thread. */
public interface UpgradePeer {

    /** Stands for the absence of another process. */
    UpgradePeer NONE = new UpgradePeer() {
        @Override
        public void refresh(Runnable then) {
            then.run();
        }

        @Override
        public boolean otherProcessServes() {
            return false;
        }

        @Override
        public void handOver() {}

        @Override
        public boolean hasUnwrittenState() {
            return false;
        }
    };

    /** Updates {@link #otherProcessServes}, then runs the task. */
    void refresh(Runnable then);

    /** Returns whether another process of this gatherer accepted queries at the last refresh. */
    boolean otherProcessServes();

    /**
     * Stops accepting new queries in this process and passes its share of the sending capacity to the other process.
     */
    void handOver();

    /** Returns whether this process holds state for the other one, or for a later one, that is not on disk yet. */
    boolean hasUnwrittenState();
}
