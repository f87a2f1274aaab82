package pepperdock.operator;

/** The other process of an upgrade, as this one's end sees it; on the loop's thread. */
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

    /** Goes on once {@link #otherProcessServes} is true to this moment. */
    void refresh(Runnable then);

    /** Whether another process of this gatherer takes queries, as last looked. */
    boolean otherProcessServes();

    /** This process takes no new queries from now on; what it might have sent is the other's to send. */
    void handOver();
}
