package pepperdock.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** A TCP connection with a single buffer for both directions; its handler is called on the I/O thread only. */
public final class Connection {

    private static final System.Logger LOG = System.getLogger("pepperdock.transport");

    /** Receives the events of a connection. */
    public interface Handler {
        /**
         * Called when input has arrived: it is in {@link #bytes} from {@link #readStart} to {@link #readEnd}. The
         * handler must {@link #consume} the bytes that it has used.
         */
        void onBytes(Connection connection);

        /** Called when the peer or an error has ended the connection; not called after {@link #close}. */
        void onClosed(Connection connection);

        /** Called when the kernel has taken all bytes given to {@link #write}. */
        default void onFlushed(Connection connection) {}

        /**
         * Returns whether input beyond the limit of {@link #limitUnconsumedBytes} is read and discarded, to notice a
         * disconnect behind it. Otherwise reading pauses until input is consumed.
         */
        default boolean awaitsDisconnect() {
            return true;
        }

        /**
         * Called once when the peer has sent far more than {@link #limitUnconsumedBytes} allows, before further input
         * is discarded.
         */
        default void onInputOverflow(Connection connection) {}
    }

    /** Bounds the reads in one turn of the loop, so that a peer that sends at full speed does not starve the others. */
    private static final int MAX_READS_PER_TURN = 16;

    private final EventLoop loop;
    private final StreamConnection channel;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final ConnectionBuffer buffer;
    private final DiscardedInput discarded;
    private Handler handler;
    private boolean closed;
    private boolean endedByError;
    private boolean lingering;
    private int maxUnconsumedBytes = Integer.MAX_VALUE;
    /** Whether reading has stopped although the kernel may hold more input. */
    private boolean inputLeftInKernel;
    /** When the kernel held no input last, as far as this is known; see {@link #inputArrivedAfter}. */
    private double kernelEmptyAt;

    private long bytesQueued;
    private long bytesWritten;

    Connection(EventLoop loop, StreamConnection channel, int maxBufferBytes) {
        this.loop = loop;
        this.channel = channel;
        buffer = new ConnectionBuffer(maxBufferBytes);
        source = channel.getSourceChannel();
        sink = channel.getSinkChannel();
        discarded = new DiscardedInput(source);
    }

    /** Starts reading; from now on the handler is called. */
    public void start(Handler handler) {
        this.handler = handler;
        source.setReadListener(s -> guarded(this::read));
        sink.setWriteListener(s -> guarded(this::flush));
        source.resumeReads();
    }

    /**
     * Limits the input that is kept until the handler consumes it to about {@code maxBytes}: the input held for all
     * clients together must fit the smallest memory given. Beyond the limit reading pauses, unless the handler {@link
     * Handler#awaitsDisconnect awaits a disconnect}: a request would otherwise be served although its client has sent
     * more than this and left. Input is then discarded, and {@link #hasDiscardedInput} becomes true.
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
        if (!closed) {
            source.resumeReads();
        }
    }

    /** Discards the input that is not consumed yet. */
    void discardInput() {
        consume(buffer.readEnd() - buffer.readStart());
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
            guarded(this::read);
        }
    }

    /** Sets a time before which no input can have arrived, for a connection that may have waited to be accepted. */
    void setInputArrivedAfter(double atS) {
        kernelEmptyAt = atS;
        inputLeftInKernel = true;
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
            closed = true;
            IoUtils.safeClose(channel);
            loop.onClosed(this);
        }
    }

    private void read() throws IOException {
        readAtMost(MAX_READS_PER_TURN);
    }

    private void readAtMost(int maxReads) throws IOException {
        if (!inputLeftInKernel) {
            kernelEmptyAt = loop.now() - loop.unreadForS();
        }
        inputLeftInKernel = true;
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
        if (buffer.readEnd() - buffer.readStart() >= maxUnconsumedBytes) {
            if (handler.awaitsDisconnect()) {
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
        int count = source.read(space);
        if (count < 0) {
            end(null);
            return false;
        }
        if (count == 0) {
            inputLeftInKernel = false;
            return false;
        }
        loop.input().recordRead(count);
        buffer.advanceRead(count);
        handler.onBytes(this);
        return true;
    }

    /**
     * Returns a time before which none of the input read now can have arrived, in seconds on the loop's clock: the loop
     * may have stalled, or reading may have been paused while more was in the kernel.
     */
    double inputArrivedAfter() {
        return kernelEmptyAt;
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
    void runGuarded(Runnable step) {
        guarded(step::run);
    }

    /** Runs a step and keeps its failure from reaching the loop or another connection. */
    private void guarded(IoTask step) {
        try {
            step.run();
        } catch (IOException e) {
            end(e);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "connection handler failed", e);
            end(new IOException(e));
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }
}
