import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A DNS server for the records of one service, over UDP: PTR, SRV, TXT and A. */
final class DnsPeer implements Closeable {

    static final int A = 1;
    static final int PTR = 12;
    static final int TXT = 16;
    static final int SRV = 33;

    /** A node that the records announce. */
    record Node(String name, int cell, int port) {}

    /** Says when an answer is sent. */
    interface Delay {
        long delayMs(String name, int type);
    }

    /** Told of each answer as it is sent. */
    interface Listener {
        void onAnswer(String name, int type, List<String> listed);
    }

    private final String service;
    private final int ttlS;
    private final Map<String, Node> nodes = new ConcurrentHashMap<>();
    private final DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(Bench.HOST));
    private final Delay delay;
    private final Listener listener;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    DnsPeer(String service, int ttlS, List<Node> announced, Delay delay, Listener listener) throws IOException {
        this.service = service;
        this.ttlS = ttlS;
        this.delay = delay;
        this.listener = listener;
        announced.forEach(node -> nodes.put(node.name(), node));
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    DatagramPacket query = new DatagramPacket(new byte[1500], 1500);
                    socket.receive(query);
                    serve(query);
                }
            } catch (IOException e) {
                // Closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return Bench.HOST + ":" + socket.getLocalPort();
    }

    /** Withdraws the records of a node. */
    void withdraw(String name) {
        nodes.remove(name);
    }

    private void serve(DatagramPacket query) {
        byte[] bytes = query.getData();
        StringBuilder name = new StringBuilder();
        int at = 12;
        while (bytes[at] != 0) {
            int length = bytes[at];
            name.append(name.length() == 0 ? "" : ".")
                    .append(new String(bytes, at + 1, length, StandardCharsets.UTF_8));
            at += 1 + length;
        }
        int questionEnd = at + 5;
        int type = (bytes[at + 1] & 0xff) << 8 | bytes[at + 2] & 0xff;
        String asked = name.toString();
        timer.schedule(
                () -> {
                    try {
                        answer(query, questionEnd, asked, type);
                    } catch (IOException e) {
                        // Closed.
                    }
                },
                delay.delayMs(asked, type),
                TimeUnit.MILLISECONDS);
    }

    /** Answers with what is announced at this moment. */
    private void answer(DatagramPacket query, int questionEnd, String name, int type) throws IOException {
        List<byte[]> data = new ArrayList<>();
        List<String> listed = new ArrayList<>();
        if (name.equals(service)) {
            if (type == PTR) {
                for (Node node : nodes.values()) {
                    data.add(encodeName(node.name() + "." + service));
                    listed.add(node.name());
                }
            }
        } else {
            Node node = nodes.get(name.split("\\.")[0]);
            if (node != null && name.equals(node.name() + "." + service)) {
                if (type == SRV) {
                    ByteArrayOutputStream srv = new ByteArrayOutputStream();
                    new DataOutputStream(srv).write(new byte[] {0, 0, 0, 0, (byte) (node.port() >> 8), (byte) node.port()});
                    srv.writeBytes(encodeName(node.name() + ".hosts.example"));
                    data.add(srv.toByteArray());
                } else if (type == TXT) {
                    ByteArrayOutputStream txt = new ByteArrayOutputStream();
                    for (String pair : List.of("block=" + node.cell(), "site=anderlecht-room", "class=std-2c")) {
                        txt.write(pair.length());
                        txt.writeBytes(pair.getBytes(StandardCharsets.UTF_8));
                    }
                    data.add(txt.toByteArray());
                }
            } else if (node != null && type == A) {
                data.add(new byte[] {127, 0, 0, 1});
            }
        }
        boolean known = name.equals(service) || nodes.containsKey(name.split("\\.")[0]);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.write(query.getData(), 0, 2);
        out.writeShort(0x8580 | (known ? 0 : 3));
        out.writeShort(1);
        out.writeShort(data.size());
        out.writeInt(0);
        out.write(query.getData(), 12, questionEnd - 12);
        for (byte[] each : data) {
            out.writeShort(0xc00c);
            out.writeShort(type);
            out.writeShort(1);
            out.writeInt(ttlS);
            out.writeShort(each.length);
            out.write(each);
        }
        listener.onAnswer(name, type, listed);
        socket.send(new DatagramPacket(bytes.toByteArray(), bytes.size(), query.getSocketAddress()));
    }

    private static byte[] encodeName(String name) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (String label : name.split("\\.")) {
            bytes.write(label.length());
            bytes.writeBytes(label.getBytes(StandardCharsets.UTF_8));
        }
        bytes.write(0);
        return bytes.toByteArray();
    }

    @Override
    public void close() {
        socket.close();
        timer.shutdownNow();
    }
}
