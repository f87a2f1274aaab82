package pepperdock.operator;

/** The other process of an upgrade, as a graceful shutdown sees it; on the loop's thread. */
public interface UpgradePeer {

    /** There is none. */
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
    };

    /** Runs the task once {@link #otherProcessServes} is up to date. */
    void refresh(Runnable then);

    /** Whether another process of this gatherer takes queries, as of the last refresh. */
    boolean otherProcessServes();

    /** This process takes no new queries from now on; its share of what may be sent to workers is the other's. */
    void handOver();
}
