import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/** A stand-in DNS server over UDP that announces ledger nodes as DNS-SD instances. */
final class DnsPeer implements AutoCloseable {

    private static final String SERVICE = "_ledger._tcp.anderlecht.example.";
    private static final long TTL_S = 1;

    private record Node(String address, int block) {}

    private final DatagramSocket socket;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    /** Whether the server answers. */
    volatile boolean up = true;

    private int queries;

    DnsPeer() throws IOException {
        socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::serve, "dns");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    synchronized void announce(String name, String address, int block) {
        nodes.put(name, new Node(address, block));
    }

    synchronized void withdraw(String name) {
        nodes.remove(name);
    }

    synchronized int queries() {
        return queries;
    }

    private void serve() {
        byte[] bytes = new byte[4096];
        try {
            while (true) {
                DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
                socket.receive(packet);
                if (up) {
                    byte[] answer = answer(new Message(java.util.Arrays.copyOf(bytes, packet.getLength()))).toWire();
                    socket.send(new DatagramPacket(answer, answer.length, packet.getSocketAddress()));
                }
            }
        } catch (IOException e) {
            // Closed.
        }
    }

    private synchronized Message answer(Message query) throws IOException {
        queries++;
        Message answer = new Message(query.getHeader().getID());
        answer.getHeader().setFlag(Flags.QR);
        answer.getHeader().setFlag(Flags.AA);
        Record question = query.getQuestion();
        answer.addRecord(question, Section.QUESTION);
        Name name = question.getName();
        Name service = Name.fromString(SERVICE);
        boolean exists = name.equals(service);
        for (Map.Entry<String, Node> entry : nodes.entrySet()) {
            Name instance = Name.concatenate(Name.fromString(entry.getKey()), service);
            Name host = Name.fromString(entry.getKey() + ".anderlecht.example.");
            Node node = entry.getValue();
            int colon = node.address().lastIndexOf(':');
            exists |= name.equals(instance) || name.equals(host);
            if (name.equals(service) && question.getType() == Type.PTR) {
                answer.addRecord(new PTRRecord(service, DClass.IN, TTL_S, instance), Section.ANSWER);
            } else if (name.equals(instance) && question.getType() == Type.SRV) {
                int port = Integer.parseInt(node.address().substring(colon + 1));
                answer.addRecord(new SRVRecord(instance, DClass.IN, TTL_S, 0, 0, port, host), Section.ANSWER);
            } else if (name.equals(instance) && question.getType() == Type.TXT) {
                List<String> texts = List.of(
                        "host=" + entry.getKey(), "block=" + node.block(), "site=anderlecht-room", "class=std-2c");
                answer.addRecord(new TXTRecord(instance, DClass.IN, TTL_S, texts), Section.ANSWER);
            } else if (name.equals(host) && question.getType() == Type.A) {
                InetAddress address = InetAddress.getByName(node.address().substring(0, colon));
                answer.addRecord(new ARecord(host, DClass.IN, TTL_S, address), Section.ANSWER);
            }
        }
        answer.getHeader().setRcode(exists ? Rcode.NOERROR : Rcode.NXDOMAIN);
        return answer;
    }

    @Override
    public void close() {
        socket.close();
    }
}
