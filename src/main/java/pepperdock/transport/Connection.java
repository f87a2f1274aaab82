package pepperdock.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** One TCP connection with its one buffer; its handler is called on the loop's thread only. */
public final class Connection {

    private static final System.Logger LOG = System.getLogger("pepperdock.transport");

    /** What a connection tells its owner. */
    public interface Handler {
        /** Bytes stand in {@link #bytes} from {@link #readStart} to {@link #readEnd}; those used are to be consumed. */
        void onBytes(Connection c);

        /** The connection has ended, from the other side or by an error; not called after {@link #close}. */
        void onClosed(Connection c);

        /** All that was given to {@link #write} is with the kernel. */
        default void onFlushed(Connection c) {}

        /** The peer has sent far more than {@link #limitUnconsumedBytes} lets stand here; told once, before what follows is thrown away. */
        default void onFlooded(Connection c) {}
    }

    /** Reads at one turn of the loop: a peer that sends at full speed must leave the others theirs. */
    private static final int MAX_READS_PER_TURN = 16;
    /** What is read and thrown away after the last write: enough for what was under way, not for all a peer may send. */
    private static final int MAX_LINGER_BYTES = 1 << 20;

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
    private boolean flooded;
    private int bytesDiscarded;
    private int maxUnconsumedBytes = Integer.MAX_VALUE;
    private long queued;
    private long written;

    Connection(EventLoop loop, StreamConnection channel, int cap) {
        this.loop = loop;
        this.channel = channel;
        buffer = new ConnectionBuffer(cap);
        source = channel.getSourceChannel();
        sink = channel.getSinkChannel();
    }

    /** Starts to read; from here on the handler is called. */
    public void start(Handler handler) {
        this.handler = handler;
        source.setReadListener(s -> guarded(this::read));
        sink.setWriteListener(s -> guarded(this::flush));
        source.resumeReads();
    }

    /**
     * Keeps no more while about so many bytes stand here that the handler has not used: what comes beyond is thrown away,
     * and the connection is {@link #hasDiscardedInput}. Guards against clients that send on and on behind a request in hand, as what
     * is held for all of them together must fit the smallest memory given. Read on all the same: of a client that sent
     * more than this and went, nobody would learn the end otherwise, and its request be served for nobody.
     */
    public void limitUnconsumedBytes(int most) {
        maxUnconsumedBytes = most;
    }
    /** The buffer; input stands between {@link #readStart} and {@link #readEnd}. It may be another one after each callback. */
    public byte[] bytes() {
        return buffer.bytes();
    }
    /** Index of the first input byte that is not consumed. */
    public int readStart() {
        return buffer.readStart();
    }
    /** Index after the last input byte. */
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

    /** Whether bytes that came were thrown away: what follows can't be told from the middle of it. */
    public boolean hasDiscardedInput() {
        return hasDiscardedInput;
    }

    /** Whether it ended by an error, a reset for one, and not by the peer's own end. */
    public boolean endedByError() {
        return endedByError;
    }

    /** Bytes given to {@link #write} so far. */
    public long bytesQueued() {
        return queued;
    }

    /** Bytes that the kernel has taken so far. */
    public long bytesWritten() {
        return written;
    }

    /** Whether something given to {@link #write} has not been taken by the kernel yet. */
    public boolean hasUnwrittenBytes() {
        return !closed && !buffer.nothingToWrite();
    }
    /** Whether the connection has been closed, by either side. */
    public boolean isClosed() {
        return closed;
    }

    /**
     * Takes what has come by now, without waiting to be told of it. For whoever means to close a connection as idle: what
     * stands unread in the kernel was written to a machine that had accepted it, and the close would lose it.
     */
    public void readNow() {
        if (!closed && handler != null) {
            guarded(this::read);
        }
    }
    /** The address of the other side. */
    public InetSocketAddress peer() {
        return channel.getPeerAddress(InetSocketAddress.class);
    }

    /** Writes at once what the socket takes and keeps the rest; a peer that lets the rest pile up is cut off. */
    public void write(byte[] bytes) {
        if (closed) {
            return;
        }
        queued += bytes.length;
        int done = 0;
        try {
            if (buffer.nothingToWrite()) {
                ByteBuffer all = ByteBuffer.wrap(bytes);
                while (all.hasRemaining() && sink.write(all) > 0) {
                    done = all.position();
                }
                written += done;
            }
            if (done < bytes.length) {
                if (!buffer.append(bytes, done, bytes.length - done)) {
                    throw new IOException("the peer does not read");
                }
                sink.resumeWrites();
            }
        } catch (IOException e) {
            // Told later: the caller may be in the midst of its own bookkeeping for this very write.
            loop.execute(() -> end(e));
        }
    }

    /**
     * Closes our side once all is flushed, and the rest when the peer closes too, or has sent too much. Guards against the
     * reset that a close with unread input sends: it overtakes an answer that the peer has not read yet. The owner bounds
     * the time, by {@link #close}; its handler is told of nothing more.
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
    /** Closes at once; bytes that are not written yet are lost, and the handler is told nothing. */
    public void close() {
        if (!closed) {
            closed = true;
            IoUtils.safeClose(channel);
            loop.closed(this);
        }
    }

    private void read() throws IOException {
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
            ByteBuffer room = buffer.forRead();
            if (room == null) {
                // Full of what is to go out: reading goes on when some of it has gone.
                source.suspendReads();
                return;
            }
            int count = source.read(room);
            if (count == 0) {
                return;
            }
            if (count < 0) {
                end(null);
                return;
            }
            buffer.advanceRead(count);
            handler.onBytes(this);
        }
    }

    /** Beyond the limit of what may stand here: only its end is still of interest. */
    private boolean discardUnconsumed() throws IOException {
        int count = source.read(loop.discardBuffer());
        if (count < 0) {
            end(null);
            return false;
        }
        hasDiscardedInput |= count > 0;
        bytesDiscarded += count;
        if (bytesDiscarded > MAX_LINGER_BYTES && !flooded) {
            flooded = true;
            bytesDiscarded = 0;
            handler.onFlooded(this);
        }
        return count > 0;
    }

    private void discardAfterLastWrite() throws IOException {
        ByteBuffer room = loop.discardBuffer();
        int count = source.read(room);
        bytesDiscarded += Math.max(0, count);
        if (count < 0 || bytesDiscarded > MAX_LINGER_BYTES) {
            close();
        }
    }

    private void flush() throws IOException {
        while (!closed && !buffer.nothingToWrite()) {
            int count = sink.write(buffer.forWrite());
            if (count == 0) {
                return;
            }
            written += count;
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

    private void end(IOException why) {
        if (!closed) {
            endedByError = why != null;
            LOG.log(System.Logger.Level.DEBUG, () -> "connection with " + peer() + " ended: " + why);
            close();
            if (!lingering) {
                handler.onClosed(this);
            }
        }
    }

    /** Nothing that goes wrong for one connection may reach the loop, or another connection. */
    private void guarded(Step step) {
        try {
            step.run();
        } catch (IOException e) {
            end(e);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "connection handler failed", e);
            end(new IOException(e));
        }
    }

    private interface Step {
        void run() throws IOException;
    }
}
