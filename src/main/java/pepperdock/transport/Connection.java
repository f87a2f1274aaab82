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
        /** Bytes stand in {@link #bytes} from {@link #from} to {@link #to}; those used are to be consumed. */
        void received(Connection c);

        /** The connection has ended, from the other side or by an error; not called after {@link #close}. */
        void ended(Connection c);

        /** All that was given to {@link #write} is with the kernel. */
        default void flushed(Connection c) {}

        /** The peer has sent far more than {@link #limitUnread} lets stand here; told once, before what follows is thrown away. */
        default void flooded(Connection c) {}
    }

    /** Reads at one turn of the loop: a peer that sends at full speed must leave the others theirs. */
    private static final int READS = 16;
    /** What is read and thrown away after the last write: enough for what was under way, not for all a peer may send. */
    private static final int LINGER_MOST = 1 << 20;

    private final Loop loop;
    private final StreamConnection channel;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final Buffer buffer;
    private Handler handler;
    private boolean closed;
    private boolean broken;
    private boolean lingers;
    private boolean overrun;
    private boolean flooded;
    private int thrownAway;
    private int unreadMost = Integer.MAX_VALUE;
    private long queued;
    private long written;

    Connection(Loop loop, StreamConnection channel, int cap) {
        this.loop = loop;
        this.channel = channel;
        buffer = new Buffer(cap);
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
     * and the connection is {@link #overrun}. Guards against clients that send on and on behind a request in hand, as what
     * is held for all of them together must fit the smallest memory given. Read on all the same: of a client that sent
     * more than this and went, nobody would learn the end otherwise, and its request be served for nobody.
     */
    public void limitUnread(int most) {
        unreadMost = most;
    }

    public byte[] bytes() {
        return buffer.bytes();
    }

    public int from() {
        return buffer.inFrom();
    }

    public int to() {
        return buffer.inTo();
    }

    public void consume(int count) {
        buffer.consume(count);
        if (!closed) {
            source.resumeReads();
        }
    }

    /** Whether bytes that came were thrown away: what follows can't be told from the middle of it. */
    public boolean overrun() {
        return overrun;
    }

    /** Whether it ended by an error, a reset for one, and not by the peer's own end. */
    public boolean broken() {
        return broken;
    }

    /** Bytes given to {@link #write} so far. */
    public long queued() {
        return queued;
    }

    /** Bytes that the kernel has taken so far. */
    public long written() {
        return written;
    }

    /** Whether something given to {@link #write} has not been taken by the kernel yet. */
    public boolean unwritten() {
        return !closed && !buffer.nothingOut();
    }

    public boolean closed() {
        return closed;
    }

    /**
     * Takes what has come by now, without waiting to be told of it. For whoever means to close a connection as idle: what
     * stands unread in the kernel was written to a machine that had accepted it, and the close would lose it.
     */
    public void poll() {
        if (!closed && handler != null) {
            guarded(this::read);
        }
    }

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
            if (buffer.nothingOut()) {
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
    public void lingerAfterWrites() {
        lingers = true;
        if (buffer.nothingOut()) {
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

    public void close() {
        if (!closed) {
            closed = true;
            IoUtils.safeClose(channel);
            loop.closed(this);
        }
    }

    private void read() throws IOException {
        for (int i = 0; i < READS && !closed; i++) {
            if (lingers) {
                throwAway();
                return;
            }
            if (buffer.inTo() - buffer.inFrom() >= unreadMost) {
                if (!passOver()) {
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
            buffer.didRead(count);
            handler.received(this);
        }
    }

    /** Beyond the limit of what may stand here: only its end is still of interest. */
    private boolean passOver() throws IOException {
        int count = source.read(loop.scratch());
        if (count < 0) {
            end(null);
            return false;
        }
        overrun |= count > 0;
        thrownAway += count;
        if (thrownAway > LINGER_MOST && !flooded) {
            flooded = true;
            thrownAway = 0;
            handler.flooded(this);
        }
        return count > 0;
    }

    private void throwAway() throws IOException {
        ByteBuffer room = loop.scratch();
        int count = source.read(room);
        thrownAway += Math.max(0, count);
        if (count < 0 || thrownAway > LINGER_MOST) {
            close();
        }
    }

    private void flush() throws IOException {
        while (!closed && !buffer.nothingOut()) {
            int count = sink.write(buffer.forWrite());
            if (count == 0) {
                return;
            }
            written += count;
            buffer.didWrite(count);
            source.resumeReads();
        }
        if (!closed) {
            sink.suspendWrites();
            if (lingers) {
                halfClose();
            } else {
                handler.flushed(this);
            }
        }
    }

    private void end(IOException why) {
        if (!closed) {
            broken = why != null;
            LOG.log(System.Logger.Level.DEBUG, () -> "connection with " + peer() + " ended: " + why);
            close();
            if (!lingers) {
                handler.ended(this);
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
