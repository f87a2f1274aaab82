package pepperdock.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** A TCP connection with a single buffer for both directions; its handler is called on the I/O thread only. */
public final class Connection {

    private static final System.Logger LOG = System.getLogger("pepperdock.transport");

    /** Bounds the reads in one turn of the loop, so that a peer that sends at full speed does not starve the others. */
    private static final int MAX_READS_PER_TURN = 16;
    /** More than the longest line that a parser accepts. */
    private static final int MIN_UNCONSUMED_LIMIT = 9 << 10;

    private final EventLoop loop;
    private final StreamConnection channel;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final ConnectionBuffer buffer;
    private final UnreadInput unread;
    private final DiscardedInput discarded;
    private ConnectionHandler handler;
    private boolean closed;
    private boolean endedByError;
    private boolean lingering;
    private long heldBytes;
    private int maxUnconsumedBytes = Integer.MAX_VALUE;
    private long bytesQueued;
    private long bytesWritten;

    Connection(EventLoop loop, StreamConnection channel, int maxBufferBytes) {
        this.loop = loop;
        this.channel = channel;
        buffer = new ConnectionBuffer(maxBufferBytes);
        source = channel.getSourceChannel();
        sink = channel.getSinkChannel();
        unread = new UnreadInput(loop);
        discarded = new DiscardedInput(source);
    }

    /** Starts reading; from now on the handler is called. */
    public void start(ConnectionHandler handler) {
        this.handler = handler;
        source.setReadListener(s -> guarded(this::onReadable));
        sink.setWriteListener(s -> guarded(this::onWritable));
        source.resumeReads();
    }

    /**
     * Limits the input that is kept until the handler consumes it to about {@code maxBytes}: the input held for all
     * clients together must fit the smallest memory given. Beyond the limit reading pauses, unless the handler {@link
     * ConnectionHandler#readsAtOnce reads at once}: a request would otherwise be served although its client has sent more than
     * this and left. Input is then discarded, and {@link #hasDiscardedInput} becomes true.
     */
    public void limitUnconsumedBytes(int maxBytes) {
        maxUnconsumedBytes = maxBytes;
    }
    /**
     * Returns the buffer, with input from {@link #readStart} to {@link #readEnd}. Each callback may replace the buffer.
     */
    public byte[] bytes() {
        return buffer.bytes();
    }
    /** Returns the index of the first input byte that is not consumed yet. */
    public int readStart() {
        return buffer.readStart();
    }
    /** Returns the index after the last input byte. */
    public int readEnd() {
        return buffer.readEnd();
    }
    /** Consumes the first {@code count} bytes of the input. */
    public void consume(int count) {
        buffer.consume(count);
        if (!closed && handler.readsAtOnce()) {
            source.resumeReads();
        }
    }

    /** Discards the input that is not consumed yet. */
    void discardInput() {
        consume(buffer.readEnd() - buffer.readStart());
    }

    /** Records how much memory is held for input that is not served, in bytes, until the connection closes. */
    void setHeldBytes(long bytes) {
        loop.inputMemory().add(bytes - heldBytes);
        heldBytes = bytes;
    }

    /** Returns the bytes recorded by {@link #setHeldBytes}. */
    long heldBytes() {
        return heldBytes;
    }

    /** Returns by how many bytes the buffer has grown beyond its initial size. */
    int grownBufferBytes() {
        return buffer.bytes().length - ConnectionBuffer.MIN_CAPACITY;
    }

    /** Returns whether input was discarded: later input may then begin in the middle of a message. */
    public boolean hasDiscardedInput() {
        return discarded.any();
    }

    /**
     * Returns whether the connection ended by an error, such as a reset, rather than by an orderly close of the peer.
     */
    public boolean endedByError() {
        return endedByError;
    }

    /** Returns the number of bytes given to {@link #write} so far. */
    public long bytesQueued() {
        return bytesQueued;
    }

    /** Returns the number of bytes that the kernel has taken so far. */
    public long bytesWritten() {
        return bytesWritten;
    }

    /** Returns whether something given to {@link #write} has not been taken by the kernel yet. */
    public boolean hasUnwrittenBytes() {
        return !closed && !buffer.nothingToWrite();
    }
    /** Returns whether the connection has been closed, by either side. */
    public boolean isClosed() {
        return closed;
    }

    /**
     * Reads the input that has arrived by now, without waiting for a read event. Call this before closing an idle
     * connection: the kernel of this machine has already accepted the unread input, and the close would lose it.
     */
    public void readNow() {
        if (!closed && handler != null) {
            guarded(() -> readAtMost(MAX_READS_PER_TURN));
        }
    }

    /**
     * Reads all input that has arrived by now, until the peer's disconnect or {@link ConnectionHandler#onInputOverflow}. Call this
     * before work on behalf of the peer: a peer that has left must not be found out only behind what it has sent.
     */
    public void pollForDisconnect() {
        if (!closed && handler != null) {
            guarded(() -> readAtMost(Integer.MAX_VALUE));
        }
    }

    /** Returns the address of the peer. */
    public InetSocketAddress peer() {
        return channel.getPeerAddress(InetSocketAddress.class);
    }

    /**
     * Writes what the socket takes now and keeps the rest in the buffer. Ends the connection if the buffer has no space
     * for the rest, as the peer does not read.
     */
    public void write(byte[] bytes) {
        if (closed) {
            return;
        }
        bytesQueued += bytes.length;
        int count = 0;
        try {
            if (buffer.nothingToWrite()) {
                ByteBuffer all = ByteBuffer.wrap(bytes);
                while (all.hasRemaining() && sink.write(all) > 0) {
                    count = all.position();
                }
                bytesWritten += count;
            }
            if (count < bytes.length) {
                if (!buffer.append(bytes, count, bytes.length - count)) {
                    throw new IOException("the peer does not read: no space in the buffer for further output");
                }
                sink.resumeWrites();
            }
        } catch (IOException e) {
            // Reported later: the caller may still be updating its own state for this write.
            loop.execute(() -> end(e));
        }
    }

    /**
     * Closes the outgoing side once all output is written, and the connection when the peer closes too or has sent too
     * much. This guards against the reset that a close with unread input sends: the reset can overtake a response that
     * the peer has not read yet, which is then lost. The owner bounds the time by calling {@link #close}; the handler
     * is not called any more.
     */
    public void closeAfterWrites() {
        lingering = true;
        if (buffer.nothingToWrite()) {
            halfClose();
        }
        source.resumeReads();
    }

    private void halfClose() {
        try {
            sink.shutdownWrites();
            sink.flush();
        } catch (IOException e) {
            close();
        }
    }
    /** Closes the connection at once. Bytes that are not written yet are lost, and the handler is not called. */
    public void close() {
        if (!closed) {
            markClosed();
            loop.channelCloser().close(channel);
        }
    }

    /** Like {@link #close}, and frees the descriptor before this method returns. */
    void closeToMakeRoom() {
        if (!closed) {
            markClosed();
            loop.channelCloser().closeNow(channel);
        }
    }

    private void markClosed() {
        closed = true;
        setHeldBytes(0);
        if (handler != null) {
            handler.releaseInput();
        }
        loop.onClosed(this);
    }

    private void onReadable() throws IOException {
        loop.onSocketEvent();
        if (lingering) {
            // Left for the next turn, if much has been closed in this one: this may find the end of the input.
            loop.channelCloser().runIfTimeLeft(() -> guarded(this::readOnce));
        } else if (handler.readsAtOnce()) {
            readAtMost(MAX_READS_PER_TURN);
        } else {
            unread.onReadable();
            source.suspendReads();
            handler.onReadable(this);
        }
    }

    /** Reads once, for a handler that does not read at once; returns whether there was input. */
    boolean readMore() {
        int unconsumed = buffer.readEnd() - buffer.readStart();
        runGuarded(this::readOnce);
        return !closed && buffer.readEnd() - buffer.readStart() > unconsumed;
    }

    /** Returns what is known of the input that the kernel still holds. */
    UnreadInput unread() {
        return unread;
    }

    /** Lets events report input again, for a handler that does not read at once. */
    void resumeReading() {
        if (!closed) {
            source.resumeReads();
        }
    }

    private void readAtMost(int maxReads) throws IOException {
        unread.onReadable();
        for (int i = 0; i < maxReads && !closed; i++) {
            if (!readOnce()) {
                return;
            }
        }
    }

    /** Reads once; returns whether another read may bring more. */
    private boolean readOnce() throws IOException {
        if (lingering) {
            discardAfterLastWrite();
            return false;
        }
        if (buffer.readEnd() - buffer.readStart() >= unconsumedLimit()) {
            if (handler.readsAtOnce()) {
                return discardUnconsumed();
            }
            source.suspendReads();
            return false;
        }
        ByteBuffer space = buffer.forRead();
        if (space == null) {
            // The buffer is full of output: reading resumes when some of it has been written.
            source.suspendReads();
            return false;
        }
        int capacity = space.remaining();
        int count = source.read(space);
        if (count < 0) {
            end(null);
            return false;
        }
        unread.onRead(count == capacity);
        if (count == 0) {
            return false;
        }
        loop.input().recordRead(count);
        buffer.advanceRead(count);
        handler.onBytes(this);
        return true;
    }

    /** While too much is held for all clients, each is read only as far as the parser may need to go on. */
    private int unconsumedLimit() {
        return loop.inputMemory().isExceeded()
                ? Math.min(MIN_UNCONSUMED_LIMIT, maxUnconsumedBytes)
                : maxUnconsumedBytes;
    }

    /** Discards input beyond the limit on unconsumed bytes; returns whether another read may bring more. */
    private boolean discardUnconsumed() throws IOException {
        DiscardedInput.Found found = discarded.discardUnconsumed(loop.discardBuffer());
        if (found == DiscardedInput.Found.DISCONNECT) {
            end(null);
        } else if (found == DiscardedInput.Found.OVERFLOW) {
            handler.onInputOverflow(this);
        }
        return found == DiscardedInput.Found.INPUT || found == DiscardedInput.Found.OVERFLOW;
    }

    private void discardAfterLastWrite() throws IOException {
        DiscardedInput.Found found = discarded.discardAfterLastWrite(loop.discardBuffer());
        if (found == DiscardedInput.Found.DISCONNECT || found == DiscardedInput.Found.OVERFLOW) {
            close();
        }
    }

    private void onWritable() throws IOException {
        loop.onSocketEvent();
        flush();
    }

    private void flush() throws IOException {
        while (!closed && !buffer.nothingToWrite()) {
            int count = sink.write(buffer.forWrite());
            if (count == 0) {
                return;
            }
            bytesWritten += count;
            buffer.advanceWrite(count);
            source.resumeReads();
        }
        if (!closed) {
            sink.suspendWrites();
            if (lingering) {
                halfClose();
            } else {
                handler.onFlushed(this);
            }
        }
    }

    private void end(IOException cause) {
        if (!closed) {
            endedByError = cause != null;
            LOG.log(System.Logger.Level.DEBUG, () -> "connection with " + peer() + " ended: " + cause);
            close();
            if (!lingering) {
                handler.onClosed(this);
            }
        }
    }

    /** Runs a step on behalf of the peer; its failure ends the connection. */
    void runGuarded(IoTask step) {
        guarded(step);
    }

    /** Runs a step and keeps its failure from reaching the loop or another connection. */
    private void guarded(IoTask step) {
        try {
            step.run();
        } catch (IOException e) {
            end(e);
        } catch (RuntimeException | OutOfMemoryError | StackOverflowError e) {
            LOG.log(System.Logger.Level.ERROR, "connection handler failed", e);
            end(new IOException(e));
        }
    }

    /** A step of reading, serving or writing. */
    interface IoTask {
        void run() throws IOException;
    }
}
