package pepperdock.operator;

/** The other process of an upgrade, as this one's end sees it; on the loop's thread. */
public interface Beside {

    /** There is none. */
    Beside NOBODY = new Beside() {
        @Override
        public void look(Runnable then) {
            then.run();
        }

        @Override
        public boolean anotherServes() {
            return false;
        }

        @Override
        public void handOver() {}
    };

    /** Goes on once {@link #anotherServes} is true to this moment. */
    void look(Runnable then);

    /** Whether another process of this gatherer takes queries, as last looked. */
    boolean anotherServes();

    /** This process takes no new queries from now on; what it might have sent is the other's to send. */
    void handOver();
}
