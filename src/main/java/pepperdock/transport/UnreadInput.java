package pepperdock.transport;

/** What is known of the input of one connection that the kernel still holds. Owned by the I/O thread. */
final class UnreadInput {

    private final EventLoop loop;
    private boolean possible;
    private double kernelEmptyAtS;

    UnreadInput(EventLoop loop) {
        this.loop = loop;
    }

    /** Records that there is input, after there was none when the loop last polled the kernel. */
    void onReadable() {
        if (!possible) {
            kernelEmptyAtS = loop.now() - loop.unreadForS();
        }
        possible = true;
    }

    /** Records that there may be input that has arrived since {@code atS}, in seconds on the loop's clock. */
    void onReadableSince(double atS) {
        kernelEmptyAtS = atS;
        possible = true;
    }

    /** Records whether more input may be left after a read. */
    void onRead(boolean moreLeft) {
        possible = moreLeft;
    }

    /** Returns whether the kernel may hold input although reading has stopped. */
    boolean isPossible() {
        return possible;
    }

    /**
     * Returns a time before which none of the input read now can have arrived, in seconds on the loop's clock: the loop
     * may have stalled, or reading may have been paused while more was in the kernel.
     */
    double arrivedAfterS() {
        return kernelEmptyAtS;
    }
}
