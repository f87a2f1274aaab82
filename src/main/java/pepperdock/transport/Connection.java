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
         * Called once when the peer has sent far more than {@link #limitUnconsumedBytes} allows, before further input
         * is discarded.
         */
        default void onInputOverflow(Connection connection) {}
    }

    /** Bounds the reads in one turn of the loop, so that a peer that sends at full speed does not starve the others. */
    private static final int MAX_READS_PER_TURN = 16;
    /**
     * Maximum number of input bytes to discard, after the last write or beyond the limit on unconsumed bytes: enough
     * for data in flight, not for all that a peer may send.
     */
    private static final int MAX_DISCARDED_BYTES = 1 << 20;

    private final EventLoop loop;
    private final StreamConnection channel;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final ConnectionBuffer buffer;
    private Handler handler;
    private boolean closed;
    private boolean endedByError;
    private boolean lingering;
    private boolean hasDiscardedInput;
    private boolean inputOverflowReported;
    private int bytesDiscarded;
    private int maxUnconsumedBytes = Integer.MAX_VALUE;
    private boolean countsAsClient;
    private long bytesRead;
    private long bytesQueued;
    private long bytesWritten;

    Connection(EventLoop loop, StreamConnection channel, int maxBufferBytes) {
        this.loop = loop;
        this.channel = channel;
        buffer = new ConnectionBuffer(maxBufferBytes);
        source = channel.getSourceChannel();
        sink = channel.getSinkChannel();
    }

    /** Starts reading; from now on the handler is called. */
    public void start(Handler handler) {
        this.handler = handler;
        source.setReadListener(s -> guarded(this::read));
        sink.setWriteListener(s -> guarded(this::flush));
        source.resumeReads();
    }

    /**
     * Limits the input that is kept until the handler consumes it to about {@code maxBytes}. Input beyond the limit is
     * discarded, and {@link #hasDiscardedInput} becomes true. This guards against clients that keep sending behind a
     * request in progress: the input held for all of them together must fit the smallest memory given. Reading
     * continues, as the disconnect of a client that sent more than this would otherwise go unnoticed, and its request
     * would be served although nobody awaits the response.
     */
    public void limitUnconsumedBytes(int maxBytes) {
        maxUnconsumedBytes = maxBytes;
        countsAsClient = true;
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

    /** Returns whether input was discarded: later input may then begin in the middle of a message. */
    public boolean hasDiscardedInput() {
        return hasDiscardedInput;
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
        if (!countsAsClient) {
            readSome();
            return;
        }
        long startNanos = System.nanoTime();
        long bytesBefore = bytesRead;
        try {
            readSome();
        } finally {
            loop.input().recordRun(this, bytesRead - bytesBefore, System.nanoTime() - startNanos);
        }
    }

    private void readSome() throws IOException {
        for (int i = 0; i < MAX_READS_PER_TURN && !closed; i++) {
            if (lingering) {
                discardAfterLastWrite();
                return;
            }
            if (buffer.readEnd() - buffer.readStart() >= maxUnconsumedBytes) {
                if (!discardUnconsumed()) {
                    return;
                }
                continue;
            }
            ByteBuffer space = buffer.forRead();
            if (space == null) {
                // The buffer is full of output: reading resumes when some of it has been written.
                source.suspendReads();
                return;
            }
            int count = source.read(space);
            if (count == 0) {
                return;
            }
            if (count < 0) {
                end(null);
                return;
            }
            bytesRead += count;
            buffer.advanceRead(count);
            handler.onBytes(this);
        }
    }

    /**
     * Discards input beyond the limit on unconsumed bytes, only to notice a disconnect; returns whether there was any.
     */
    private boolean discardUnconsumed() throws IOException {
        int count = source.read(loop.discardBuffer());
        if (count < 0) {
            end(null);
            return false;
        }
        hasDiscardedInput |= count > 0;
        bytesDiscarded += count;
        if (bytesDiscarded > MAX_DISCARDED_BYTES && !inputOverflowReported) {
            inputOverflowReported = true;
            bytesDiscarded = 0;
            handler.onInputOverflow(this);
        }
        return count > 0;
    }

    private void discardAfterLastWrite() throws IOException {
        ByteBuffer space = loop.discardBuffer();
        int count = source.read(space);
        bytesDiscarded += Math.max(0, count);
        if (count < 0 || bytesDiscarded > MAX_DISCARDED_BYTES) {
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
