package pepperdock.faultinjection.upgrade;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import pepperdock.codec.frame.FrameEncoder;

/** A worker that speaks the platform's frames, answers each part after a fixed time, and reports each part it gets. */
public final class WorkerStub extends StubServer {

    /**
     * A part as it arrived.
     *
     * @param queryId the id of the query that it belongs to
     * @param atS when the first byte of its call arrived
     * @param deadlineMs for how long the gatherer says that it will wait
     */
    public record Send(String worker, String queryId, double atS, long deadlineMs) {}

    private static final int SERVICE_MS = 8;
    private static final char CALL = 'm';

    private final String worker;
    private final Consumer<Send> listener;

    /** Opens a worker; {@code listener} is called on the threads of the connections. */
    public WorkerStub(String worker, Consumer<Send> listener) throws IOException {
        super("worker " + worker);
        this.worker = worker;
        this.listener = listener;
        start();
    }

    @Override
    void serve(Socket connection) throws IOException, InterruptedException {
        DataInputStream in = new DataInputStream(connection.getInputStream());
        while (true) {
            int firstByte = in.read();
            if (firstByte < 0) {
                return;
            }
            double arrivedAtS = MonotonicClock.now();
            int length = firstByte << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
            byte[] frame = new byte[length];
            in.readFully(frame);
            if (frame[0] == CALL) {
                answer(connection, frame, arrivedAtS);
            }
        }
    }

    private void answer(Socket connection, byte[] frame, double arrivedAtS) throws IOException, InterruptedException {
        Thread.sleep(SERVICE_MS);
        int from = 1;
        while (from < frame.length) {
            int end = from;
            while (frame[end] != '\n') {
                end++;
            }
            String[] fields = new String(frame, from, end - from, StandardCharsets.UTF_8).split(" ");
            String partId = fields[0];
            listener.accept(
                    new Send(worker, partId.substring(0, partId.lastIndexOf('.')), arrivedAtS, deadlineMs(fields[2])));
            byte[] result = (partId + " good 1 -\nvalue").getBytes(StandardCharsets.UTF_8);
            connection.getOutputStream().write(FrameEncoder.encode('q', result));
            from = end + 1 + Integer.parseInt(fields[3]);
        }
    }

    private static long deadlineMs(String list) {
        for (String item : list.split(",")) {
            if (item.startsWith("d=")) {
                return Long.parseLong(item.substring(2));
            }
        }
        return 0;
    }
}
