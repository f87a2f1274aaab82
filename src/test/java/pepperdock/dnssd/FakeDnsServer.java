package pepperdock.dnssd;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** A fake authoritative DNS server for a few records, over UDP on loopback. */
final class FakeDnsServer implements java.io.Closeable {

    final List<Record> records = new CopyOnWriteArrayList<>();
    final List<String> queries = new CopyOnWriteArrayList<>();
    volatile int rcode = Rcode.NOERROR;
    private final DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());

    FakeDnsServer() throws IOException {
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    DatagramPacket packet = new DatagramPacket(new byte[4096], 4096);
                    socket.receive(packet);
                    byte[] answer = answer(new Message(java.util.Arrays.copyOf(packet.getData(), packet.getLength())))
                            .toWire();
                    socket.send(new DatagramPacket(answer, answer.length, packet.getSocketAddress()));
                }
            } catch (SocketException e) {
                // The socket was closed: the test is over.
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }

    private Message answer(Message query) {
        Record question = query.getQuestion();
        queries.add(question.getName() + " " + Type.string(question.getType()));
        Message answer = new Message(query.getHeader().getID());
        answer.getHeader().setFlag(Flags.QR);
        answer.getHeader().setFlag(Flags.AA);
        answer.addRecord(question, Section.QUESTION);
        List<Record> found = records.stream()
                .filter(r -> r.getName().equals(question.getName()) && r.getType() == question.getType())
                .toList();
        found.forEach(r -> answer.addRecord(r, Section.ANSWER));
        answer.getHeader().setRcode(rcode);
        return answer;
    }

    /** Adds an instance with all its records. */
    void instance(String label, int port, long ttl, String... txt) throws IOException {
        Name service = Name.fromString("_ledger._tcp.room.example.");
        Name name = Name.concatenate(Name.fromString(label), service);
        Name target = Name.fromString(label + ".room.example.");
        records.add(new org.xbill.DNS.PTRRecord(service, DClass.IN, ttl, name));
        records.add(new org.xbill.DNS.SRVRecord(name, DClass.IN, ttl, 0, 0, port, target));
        records.add(new org.xbill.DNS.TXTRecord(name, DClass.IN, ttl, List.of(txt)));
        records.add(new org.xbill.DNS.ARecord(target, DClass.IN, ttl, InetAddress.getByName("127.0.0.9")));
    }

    void remove(String label) {
        records.removeIf(candidate -> candidate.getName().toString().startsWith(label)
                || candidate instanceof org.xbill.DNS.PTRRecord pointer
                        && pointer.getTarget().toString().startsWith(label));
    }

    @Override
    public void close() {
        socket.close();
    }
}
